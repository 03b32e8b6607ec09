// Defines EngineBook, what the orderer of engines knows of each engine of one
// service: what it holds, the order in progress, and from when on it takes
// more.
#ifndef ORDERING_ENGINE_TABLE_H_
#define ORDERING_ENGINE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet/endpoint_record.h"
#include "fleet/model_ref.h"
#include "fleet/placement_plan.h"
#include "ports/engine_control.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EndpointDirectory;

/// An order that an engine has been given.
struct InFlightOrder {
  std::uint64_t id = 0;  ///< Tells it from other orders of this holder.
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  TimePoint expected_done_at{};  ///< As expected.
};

/// One engine in the book.
struct TrackedEngine {
  EndpointRecord record;  ///< As last adopted, with what was ordered since.
  /// Orders that the engine has accepted; unknown until its report was read.
  std::optional<std::uint64_t> sequence;
  bool reading_report = false;  ///< A report is on its way.
  std::uint32_t failed_reads =
      0;                         ///< Reads of its report that failed in a row.
  bool record_mismatch = false;  ///< The engine describes itself differently.
  /// The engine carries out an order that this book does not know, such as one
  /// of an earlier holder: what it will hold is unknown.
  bool foreign_order = false;
  TimePoint changed_at{};  ///< Of what it holds, by this book.
  std::optional<InFlightOrder> order;
  std::map<ModelRef, TimePoint> loading_adapters;  ///< With the expected time.
  TimePoint blocked_until{};       ///< After an order without a clear outcome.
  std::uint64_t notices_sent = 0;  ///< Sent under this fence.
  std::vector<HeldModel> announced_models;  ///< In the last notice.
  TimePoint announced_at{};
};

/// The engines of one service. What the store says of an engine may be older
/// than what was ordered; its report is what counts.
class EngineTable {
 public:
  /// Starts anew, as after taking the lease.
  void Clear() {
    engines_.clear();
    newest_engine_at_ = TimePoint{};
    first_sync_at_.reset();
  }

  /// Takes what the directory says. Returns the engines whose report must be
  /// read: new ones, and those whose description does not match the book.
  std::vector<std::string> Sync(const EndpointDirectory& directory,
                                std::string_view service,
                                TimePoint now);

  /// Takes an engine's report.
  void Adopt(const std::string& id, const EngineState& state, TimePoint now);

  /// The engine did not answer when its report was read. It gets no orders
  /// until it does, and after a second time it counts as lost with what it
  /// holds; it is asked again after a pause that doubles.
  static void OnUnreachable(TrackedEngine& entry, TimePoint now);

  /// Whether the first reports are still on their way: a plan would take models
  /// for missing, or for models without a copy, whose engines did not answer
  /// yet. Engines that do not answer are not waited for.
  bool IsAwaitingReports(TimePoint now) const;

  /// Whether no engine was new for a while, so that all that live are known:
  /// at a start and after an outage of the store they come one by one.
  bool IsSettled(TimePoint now) const;

  TrackedEngine* Find(const std::string& id);

  /// The engine if it is still carrying out the order `order_id`. It may have
  /// been forgotten and found again meanwhile, and have another order.
  TrackedEngine* FindWithOrder(const std::string& id, std::uint64_t order_id);

  /// The engines as the plan sees them.
  std::vector<EngineSnapshot> Snapshots(const EndpointDirectory& directory,
                                        TimePoint now) const;

  /// The notice of what an engine holds and may be asked for; empty if the last
  /// one said the same a moment ago.
  static std::optional<HoldingsNotice> MakeNotice(TrackedEngine& entry,
                                                  std::uint64_t fence,
                                                  TimePoint now);

 private:
  std::map<std::string, TrackedEngine> engines_;
  std::optional<TimePoint>
      first_sync_at_;             ///< When engines were first looked at.
  TimePoint newest_engine_at_{};  ///< When the last new engine was seen.
};

}  // namespace tanagerloom

#endif  // ORDERING_ENGINE_BOOK_H_
