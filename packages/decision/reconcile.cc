#include "decision/reconcile.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Time after which the failures of a key are forgotten. It is well above the
// maximum backoff, so that the backoff keeps doubling.
constexpr std::uint64_t kFailureRetentionMs = 600000;

// Reconciles the replicas of one engine with its report.
class EngineReconciler {
 public:
  EngineReconciler(CellRecord& record,
                   const std::string& engine,
                   const ReconcileInput& input,
                   ReconcileOutcome& outcome)
      : record_(record), engine_(engine), input_(input), outcome_(outcome) {}

  void Run() {
    const auto it = input_.engines.find(engine_);
    if (it != input_.engines.end() && IsGone(it->second)) {
      RemoveEngine("the server is gone");
      return;
    }
    if (it != input_.engines.end() && it->second.report) {
      report_ = &*it->second.report;
      UpdateEngine(
          record_, engine_,
          {report_->memory_mb, report_->boot,
           report_->leaving || it->second.leaving, report_->highest_fence});
    }
    // Adapters come first, because a base is removed only after its adapters.
    auto replicas = record_.engines.find(engine_)->second.replicas;
    std::stable_partition(replicas.begin(), replicas.end(), [](const auto& it) {
      return !it.key.adapter.empty();
    });
    for (const auto& replica : replicas) {
      Reconcile(replica);
    }
    AddFoundReplicas();
  }

 private:
  // An engine whose VM was removed from the list and that does not respond has
  // no memory to protect. An engine that this process never saw listed may be
  // missing only because the list lags.
  bool IsGone(const EngineStatus& status) const {
    const auto wait_ms = status.was_listed ? input_.order_progress_ms
                                           : input_.engine_gone_timeout_ms;
    return !status.listed && !status.reachable &&
           input_.now_ms > status.unlisted_since_ms + wait_ms;
  }

  void AddFoundReplicas() {
    if (report_ == nullptr || report_->read_started_ms <= input_.view_seen_ms) {
      return;
    }
    for (const bool adapters : {false, true}) {
      for (const auto& it : report_->entries) {
        if (it.state == ReportedEntry::State::kLoaded &&
            it.key.adapter.empty() != adapters) {
          AddFound(it);
        }
      }
    }
  }

  void AddFound(const ReportedEntry& entry) {
    const auto allowance = AllowanceOf(input_.estate, entry.key);
    const LoadDecision found{.engine = engine_,
                             .key = entry.key,
                             .memory_mb = allowance.memory_mb,
                             .replica_limit = allowance.replica_limit,
                             .source = WeightSource::kRemote,
                             .reason = DecisionReason::kDemand,
                             .order = entry.order};
    if (AddFoundReplica(record_, found, input_.self)) {
      ++outcome_.found;
    }
  }

  void RemoveEngine(const char* cause) {
    auto replicas = record_.engines.find(engine_)->second.replicas;
    std::stable_partition(replicas.begin(), replicas.end(), [](const auto& it) {
      return !it.key.adapter.empty();
    });
    for (const auto& replica : replicas) {
      Remove(replica, cause);
    }
    RemoveEngineIfEmpty(record_, engine_);
  }

  void Reconcile(const ReplicaRecord& replica) {
    switch (replica.state) {
      case ReplicaState::kLoading:
        ReconcileLoading(replica);
        break;
      case ReplicaState::kLoaded:
        ReconcileLoaded(replica);
        break;
      case ReplicaState::kUnloading:
        ReconcileUnloading(replica);
        break;
    }
  }

  void ReconcileLoading(const ReplicaRecord& replica) {
    const auto* entry = FindEntry(replica);
    const bool answered_before_report = IsAnsweredBeforeReport(replica);
    if (entry != nullptr &&
        (entry->order == replica.order || answered_before_report)) {
      if (entry->state == ReportedEntry::State::kLoaded) {
        MarkReplicaLoaded(replica);
      } else if (entry->state == ReportedEntry::State::kFailed) {
        HandleFailedLoad(replica, entry->cause);
      }
      return;
    }
    if (entry == nullptr && answered_before_report) {
      const auto& status = input_.orders.at(replica.order);
      HandleFailedLoad(replica, status.refused ? "refused: " + status.reason
                                               : "the engine lost the replica");
      return;
    }
    AdoptIfStuck(replica);
  }

  void ReconcileLoaded(const ReplicaRecord& replica) {
    if (!IsReadAfterSeen(replica)) {
      return;
    }
    const auto* entry = FindEntry(replica);
    if (entry == nullptr) {
      RemoveOrUnload(replica, "the engine no longer holds it");
    } else if (entry->state == ReportedEntry::State::kFailed) {
      HandleFailedLoad(replica, entry->cause);
    }
  }

  void ReconcileUnloading(const ReplicaRecord& replica) {
    const bool fence_seen = report_ != nullptr && input_.engines_check_fence &&
                            report_->highest_fence >= replica.fence;
    const bool delivered = IsAnsweredBeforeReport(replica) || fence_seen;
    if (!delivered) {
      AdoptIfStuck(replica);
      return;
    }
    if (FindEntry(replica) == nullptr) {
      if (MayRemove(engine_, replica, *report_, input_)) {
        Remove(replica, "unloaded");
      }
      return;
    }
    // Without an answer, the fencing token of a later order shows that this
    // order can no longer take effect: the engine would refuse it, and no
    // process sends it again.
    const auto it = input_.orders.find(replica.order);
    const bool answered = it != input_.orders.end() && it->second.answered;
    const auto since_ms =
        answered ? it->second.answered_ms : input_.first_seen_ms(replica);
    if (report_->read_started_ms > since_ms + input_.order_progress_ms) {
      (void)RenewUnload(record_, engine_, replica.key, input_.self);
    }
  }

  void MarkReplicaLoaded(const ReplicaRecord& replica) {
    if (MarkLoaded(record_, engine_, replica.key, replica.order)) {
      outcome_.loaded.push_back(MakeChange(replica, ""));
    }
  }

  void HandleFailedLoad(const ReplicaRecord& replica, std::string cause) {
    RecordLoadFailure(record_, engine_, replica.key, cause, input_.self.now_ms);
    outcome_.failed.push_back(MakeChange(replica, cause));
    RemoveOrUnload(replica, std::move(cause));
  }

  // A replica that cannot be removed yet gets an unload order. Its higher
  // fencing token makes engines that check it refuse the earlier orders.
  void RemoveOrUnload(const ReplicaRecord& replica, std::string cause) {
    if (FindEntry(replica) == nullptr &&
        MayRemove(engine_, replica, *report_, input_)) {
      Remove(replica, std::move(cause));
    } else {
      (void)DecideUnload(record_, engine_, replica.key, input_.self);
    }
  }

  void Remove(const ReplicaRecord& replica, std::string cause) {
    if (RemoveReplica(record_, engine_, replica.key)) {
      outcome_.removed.push_back(MakeChange(replica, std::move(cause)));
    }
  }

  void AdoptIfStuck(const ReplicaRecord& replica) {
    if (replica.executor == input_.self.process ||
        (replica.reason == DecisionReason::kStandby &&
         !input_.is_coordinator)) {
      return;
    }
    const bool overdue = input_.now_ms > input_.first_seen_ms(replica) +
                                             input_.order_progress_ms;
    if (!overdue && input_.is_executor_present(replica.executor)) {
      return;
    }
    if (AdoptOrder(record_, engine_, replica.key, replica.order,
                   input_.self.process)) {
      ++outcome_.adopted;
    }
  }

  const ReportedEntry* FindEntry(const ReplicaRecord& replica) const {
    return report_ == nullptr ? nullptr : report_->Find(replica.key);
  }

  bool IsAnsweredBeforeReport(const ReplicaRecord& replica) const {
    const auto it = input_.orders.find(replica.order);
    return report_ != nullptr && it != input_.orders.end() &&
           it->second.answered &&
           report_->read_started_ms > it->second.answered_ms;
  }

  bool IsReadAfterSeen(const ReplicaRecord& replica) const {
    return report_ != nullptr &&
           report_->read_started_ms > input_.first_seen_ms(replica);
  }

  ReplicaChange MakeChange(const ReplicaRecord& replica,
                           std::string cause) const {
    return {engine_, replica.key, replica.decided_ms, replica.source,
            std::move(cause)};
  }

  CellRecord& record_;
  const std::string& engine_;
  const ReconcileInput& input_;
  ReconcileOutcome& outcome_;
  const EngineReport* report_ = nullptr;
};

}  // namespace

ReconcileOutcome ReconcileCell(CellRecord& record,
                               const ReconcileInput& input) {
  ReconcileOutcome outcome;
  std::erase_if(record.failures, [&](const auto& it) {
    return input.self.now_ms > it.second.LastFailureMs() + kFailureRetentionMs;
  });
  for (const auto& [id, status] : input.engines) {
    if (status.listed && status.report && !record.engines.contains(id)) {
      UpdateEngine(record, id,
                   {status.report->memory_mb, status.report->boot,
                    status.report->leaving || status.leaving,
                    status.report->highest_fence});
    }
  }
  std::vector<std::string> ids;
  for (const auto& [id, engine] : record.engines) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    EngineReconciler(record, id, input, outcome).Run();
  }
  return outcome;
}

bool MayRemove(std::string_view engine,
               const ReplicaRecord& replica,
               const EngineReport& report,
               const ReconcileInput& input) {
  if (std::ranges::all_of(replica.senders, [&](const auto& process) {
        return input.is_sender_done(engine, replica, process);
      })) {
    return true;
  }
  if (!input.engines_check_fence) {
    return false;
  }
  // An unload order that arrives again is harmless, a load order is not.
  return replica.state == ReplicaState::kUnloading
             ? report.highest_fence >= replica.fence
             : report.highest_fence > replica.fence;
}

}  // namespace tanagerloom
