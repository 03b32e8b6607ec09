// Defines EngineTable, the state of each engine of one service at the node that
// sends orders: its loaded models, the order in flight and when it takes the
// next one.
#ifndef ORDERING_ENGINE_TABLE_H_
#define ORDERING_ENGINE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "fleet/endpoint_record.h"
#include "fleet/model_ref.h"
#include "fleet/placement_plan.h"
#include "ports/engine_control.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EndpointDirectory;

/// An order that was sent to an engine, or is about to be, and is not finished.
struct InFlightOrder {
  std::uint64_t id = 0;  ///< Unique among the orders of this node.
  OrderAction action = OrderAction::kLoad;
  ModelRef target;
  TimePoint expected_done_at{};  ///< Expected end of the order.
};

/// State of one engine.
struct TrackedEngine {
  EndpointRecord record;  ///< Last report, updated by the orders since.
  /// Number of orders that the engine has accepted; unknown until its report
  /// was read.
  std::optional<std::uint64_t> sequence;
  bool reading_report = false;     ///< A read of its report is in flight.
  std::uint32_t failed_reads = 0;  ///< Consecutive failed reads of its report.
  bool record_mismatch = false;    ///< Its directory entry lists other models.
  /// The engine carries out an order that is not in this table, such as one of
  /// an earlier lease holder. Its loaded models are unknown until that order
  /// ends.
  bool executing_unknown_order = false;
  TimePoint changed_at{};  ///< Time of the last change of its models here.
  std::optional<InFlightOrder> order;
  /// Adapter loads in flight, with their expected end.
  std::map<ModelRef, TimePoint> loading_adapters;
  /// Adapters whose unload waits for the requests that use them. They keep
  /// their slots until a report no longer lists them.
  std::set<ModelRef> unloading_adapters;
  TimePoint unloads_checked_at{};  ///< Time of the last report since then.
  TimePoint blocked_until{};  ///< No order or report read starts before this.
  /// Notices created since the table was cleared.
  std::uint64_t notices_sent = 0;
  std::vector<LoadedModel> announced_models;  ///< Models in the last notice.
  TimePoint announced_at{};
};

/// The engines of one service. The directory entry of an engine may be older
/// than the last orders, so the engine's own report takes precedence.
class EngineTable {
 public:
  /// Time from the acceptance of an adapter load until the adapter is loaded.
  static constexpr Duration kAdapterLoadTime = std::chrono::milliseconds(20);

  /// Removes all engines, as after taking the order lease.
  void Clear() {
    engines_.clear();
    newest_engine_at_ = TimePoint{};
    first_sync_at_.reset();
  }

  /// Updates the table from the directory. Returns the ids of engines whose
  /// report must be read: new engines, and those whose state here is unknown or
  /// contradicted.
  std::vector<std::string> Sync(const EndpointDirectory& directory,
                                std::string_view service,
                                TimePoint now);

  /// Replaces the state of an engine by its report. What the report lists as on
  /// its way takes its place at once, since an order without an answer may have
  /// started it.
  void Adopt(const std::string& id, const EngineState& state, TimePoint now);

  /// Takes the adapters whose load is expected to have ended as loaded. Returns
  /// whether there were any.
  static bool FinishAdapterLoads(TrackedEngine& entry, TimePoint now);

  /// The engine accepted to unload an adapter, which nodes must no longer use.
  /// `done`: it has done so, else it waits for the requests that use it.
  static void OnAdapterUnload(TrackedEngine& entry,
                              const ModelRef& adapter,
                              bool done,
                              TimePoint now);

  /// A read of the engine's report failed. The engine gets no orders until a
  /// read succeeds, and after a second failure it counts as lost with its
  /// loaded models. Further reads follow with an exponential backoff.
  static void OnUnreachable(TrackedEngine& entry, TimePoint now);

  /// Returns whether the first reports are still in flight. A plan made before
  /// would treat models of engines without a report as not loaded or without a
  /// cached copy. Engines that do not answer are not waited for.
  bool IsAwaitingReports(TimePoint now) const;

  /// Returns whether no engine was added recently, so that all live engines are
  /// known. After a start or an outage of the store they register one by one.
  bool IsSettled(TimePoint now) const;

  TrackedEngine* Find(const std::string& id);

  /// Returns the engine if `order_id` is still its order in flight, else null.
  /// The engine may have been removed and added again, and have another order.
  TrackedEngine* FindWithOrder(const std::string& id, std::uint64_t order_id);

  /// Returns a snapshot of all engines for the planner.
  std::vector<EngineSnapshot> Snapshots(const EndpointDirectory& directory,
                                        TimePoint now) const;

  /// Returns a notice of the models that an engine may get requests for;
  /// nothing if the last notice is recent and said the same.
  static std::optional<LoadedModelsNotice> MakeNotice(TrackedEngine& entry,
                                                      std::uint64_t fence,
                                                      TimePoint now);

 private:
  std::map<std::string, TrackedEngine> engines_;
  std::optional<TimePoint> first_sync_at_;  ///< Time of the first Sync() call.
  /// Time at which the last new engine was added.
  TimePoint newest_engine_at_{};
};

}  // namespace tanagerloom

#endif  // ORDERING_ENGINE_TABLE_H_
