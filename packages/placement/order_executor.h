// Defines OrderExecutor, which sends those orders of a stored placement record
// whose executor is this process, and remembers the answers to them.
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

/// Callbacks from the executor into the controller of a cell.
struct ExecutorHooks {
  /// Returns the address of an engine; empty if it is unknown.
  std::function<std::optional<Address>(const std::string& engine)> find_address;
  /// Whether the order must wait, for instance an unload while requests run on
  /// the replica.
  std::function<bool(const std::string& engine, const ReplicaRecord&)>
      must_wait;
  /// Whether the order may be sent now: it is still current, and the stored
  /// record names this process as its executor or this process sent it before.
  /// Reads the record again if the cached view may be stale.
  std::function<bool(const std::string& engine, const ReplicaRecord&)> may_send;
  /// Called after each send, whether or not it was answered.
  std::function<void()> on_answer;
};

/// Sends the orders of one cell, each in a fiber of its own.
class OrderExecutor {
 public:
  OrderExecutor(EngineControl& engine_control,
                const Clock& clock,
                EventLog& log,
                TaskGroup& tasks,
                std::string self,
                Duration sender_gone,
                ExecutorHooks hooks);

  /// Sends the open orders of `record` whose time has come, and forgets orders
  /// that are not in it and can no longer reach an engine.
  void Sync(const CellRecord& record);

  /// Sends no further new orders; unconfirmed orders are still retried.
  void Stop() { stopping_ = true; }

  /// Whether an order of this process for the replica may still reach the
  /// engine.
  bool HasOrderInFlight(std::string_view engine, const ModelKey& key) const;

  /// Whether this process sent the order and has no answer to it.
  bool IsUnconfirmed(const std::string& order) const;

  /// Whether this process has sent the order or is sending it.
  bool IsSendStarted(const std::string& order) const;

  /// The answers to orders by order id.
  const std::map<std::string, OrderStatus>& answers() const { return answers_; }

  /// Records that another process received an answer to the order.
  void RecordAnswer(const std::string& order);

  /// Whether any order of this process may still reach an engine.
  bool HasOrdersInFlight() const;

  /// Number of sends so far, retries included.
  std::uint64_t orders_sent() const { return orders_sent_; }

 private:
  struct OutgoingOrder {
    std::string engine;
    ReplicaRecord replica;
    bool sending = false;  ///< A fiber is sending the order.
    /// Sent without an answer; the order may still reach the engine.
    bool unconfirmed = false;
    std::uint32_t attempts = 0;
    TimePoint last_sent{};
    TimePoint next_send{};
  };

  /// Whether this process has to send the order of `replica`.
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
  /// Orders to send or without an answer, by order id.
  std::map<std::string, OutgoingOrder> outgoing_;
  std::map<std::string, OrderStatus> answers_;
  std::uint64_t orders_sent_ = 0;
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_ORDER_EXECUTOR_H_
