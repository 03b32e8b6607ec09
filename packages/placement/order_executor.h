// Defines OrderExecutor, which sends the orders that a stored record names this
// process as executor for, and remembers which were answered.
#ifndef PLACEMENT_ORDER_EXECUTOR_H_
#define PLACEMENT_ORDER_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "decision/cell_record.h"
#include "decision/reconcile.h"
#include "ports/engine_control.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;
class TaskGroup;

/// What the executor needs from the controller of a cell.
struct ExecutorHooks {
  std::function<std::optional<Address>(const std::string& engine)> find_address;
  /// Whether the order has to wait, such as an unload with requests running.
  std::function<bool(const std::string& engine, const ReplicaRecord&)>
      must_wait;
  /// Whether the stored record still names this process as the executor of the
  /// order, or the order is still current and was sent before. Reads the record
  /// again if the view may be stale.
  std::function<bool(const std::string& engine, const ReplicaRecord&)> may_send;
  std::function<void()> on_answer;
};

/// Sends orders of one cell; each send has its own fiber.
class OrderExecutor {
 public:
  OrderExecutor(EngineControl& engine_control,
                const Clock& clock,
                EventLog& log,
                TaskGroup& tasks,
                std::string self,
                Duration sender_gone,
                ExecutorHooks hooks);

  /// Sends the open orders of `record` that are due and forgets the orders that
  /// are no longer of use.
  void Sync(const CellRecord& record);

  /// Stops sending orders that were not sent yet.
  void Stop() { stopping_ = true; }

  /// Whether an order of this process for the replica may still arrive.
  bool HasOrderInFlight(std::string_view engine, const ModelKey& key) const;

  /// Whether this process sent the order and got no answer yet.
  bool IsUnconfirmed(const std::string& order) const;

  /// Whether this process began to send the order.
  bool IsSendStarted(const std::string& order) const;

  /// Answers to orders, by order id.
  const std::map<std::string, OrderStatus>& answers() const { return answers_; }

  /// Takes over that another process got an answer to an order.
  void RecordAnswer(const std::string& order);

  /// Whether an order was ever sent without an answer.
  bool HasOrdersInFlight() const;

  std::uint64_t orders_sent() const { return orders_sent_; }

 private:
  struct OutgoingOrder {
    std::string engine;
    ReplicaRecord replica;
    bool sending = false;
    bool unconfirmed = false;  ///< Was sent, and may still arrive.
    std::uint32_t attempts = 0;
    TimePoint last_sent{};
    TimePoint next_send{};
  };

  bool IsOpen(const ReplicaRecord& replica) const;
  void ForgetObsoleteOrders(const CellRecord& record);
  void Send(const std::string& order);
  void HandleAnswer(const std::string& order, Result<OrderAnswer> answer);
  void ScheduleRetry(OutgoingOrder& outgoing);

  EngineControl& engine_control_;
  const Clock& clock_;
  EventLog& log_;
  TaskGroup& tasks_;
  std::string self_;
  Duration sender_gone_;
  ExecutorHooks hooks_;
  std::map<std::string, OutgoingOrder> outgoing_;  ///< By order id.
  std::map<std::string, OrderStatus> answers_;
  std::uint64_t orders_sent_ = 0;
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_ORDER_EXECUTOR_H_
