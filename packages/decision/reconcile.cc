#include "decision/reconcile.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Well above the longest back-off, so that it goes on doubling.
constexpr std::uint64_t kKeepFailuresMs = 600000;

// Reconciles the replicas of one server with its report.
class ServerReconciler {
 public:
  ServerReconciler(CellRecord& record,
                   const std::string& server,
                   const ReconcileInput& input,
                   ReconcileOutcome& outcome)
      : record_(record), server_(server), input_(input), outcome_(outcome) {}

  void Run() {
    const auto it = input_.servers.find(server_);
    if (it != input_.servers.end() && IsGone(it->second)) {
      RemoveServer("the server is gone");
      return;
    }
    if (it != input_.servers.end() && it->second.report) {
      report_ = &*it->second.report;
      UpdateServer(
          record_, server_,
          {report_->memory_mb, report_->boot,
           report_->leaving || it->second.leaving, report_->highest_fence});
    }
    // Adapters come first, because a base is only removed after them.
    auto replicas = record_.servers.find(server_)->second.replicas;
    std::stable_partition(replicas.begin(), replicas.end(), [](const auto& it) {
      return !it.key.adapter.empty();
    });
    for (const auto& replica : replicas) {
      Reconcile(replica);
    }
    AddFoundReplicas();
  }

 private:
  // A VM that left the list and does not answer has no memory to protect. One
  // that this process never saw listed may be missing because the list lags.
  bool IsGone(const ServerFacts& facts) const {
    const auto wait_ms =
        facts.was_listed ? input_.order_progress_ms : input_.server_gone_ms;
    return !facts.listed && !facts.reachable &&
           input_.now_ms > facts.unlisted_since_ms + wait_ms;
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
    const LoadDecision found{.server = server_,
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

  void RemoveServer(const char* cause) {
    auto replicas = record_.servers.find(server_)->second.replicas;
    std::stable_partition(replicas.begin(), replicas.end(), [](const auto& it) {
      return !it.key.adapter.empty();
    });
    for (const auto& replica : replicas) {
      Remove(replica, cause);
    }
    RemoveEmptyServer(record_, server_);
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
    const auto* entry = Entry(replica);
    const bool answered_before_report = IsAnsweredBeforeReport(replica);
    if (entry != nullptr &&
        (entry->order == replica.order || answered_before_report)) {
      if (entry->state == ReportedEntry::State::kLoaded) {
        Loaded(replica);
      } else if (entry->state == ReportedEntry::State::kFailed) {
        Failed(replica, entry->cause);
      }
      return;
    }
    if (entry == nullptr && answered_before_report) {
      const auto& facts = input_.orders.at(replica.order);
      Failed(replica, facts.refused ? "refused: " + facts.reason
                                    : "the engine lost the replica");
      return;
    }
    AdoptIfStuck(replica);
  }

  void ReconcileLoaded(const ReplicaRecord& replica) {
    if (!IsReadAfterSeen(replica)) {
      return;
    }
    const auto* entry = Entry(replica);
    if (entry == nullptr) {
      RemoveOrUnload(replica, "the engine no longer holds it");
    } else if (entry->state == ReportedEntry::State::kFailed) {
      Failed(replica, entry->cause);
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
    if (Entry(replica) == nullptr) {
      if (MayRemove(server_, replica, *report_, input_)) {
        Remove(replica, "unloaded");
      }
      return;
    }
    // Without an answer, a later order's fence shows that this order cannot
    // take effect any more: the engine would refuse it, and nobody sends it
    // again.
    const auto it = input_.orders.find(replica.order);
    const bool answered = it != input_.orders.end() && it->second.answered;
    const auto since_ms =
        answered ? it->second.answered_ms : input_.seen_ms(replica);
    if (report_->read_started_ms > since_ms + input_.order_progress_ms) {
      (void)RenewUnload(record_, server_, replica.key, input_.self);
    }
  }

  void Loaded(const ReplicaRecord& replica) {
    if (MarkLoaded(record_, server_, replica.key, replica.order)) {
      outcome_.loaded.push_back(Change(replica, ""));
    }
  }

  void Failed(const ReplicaRecord& replica, std::string cause) {
    NoteLoadFailure(record_, server_, replica.key, cause, input_.self.now_ms);
    outcome_.failed.push_back(Change(replica, cause));
    RemoveOrUnload(replica, std::move(cause));
  }

  // An entry that can't be removed yet gets an unload order: its higher fence
  // makes engines that check it refuse the earlier orders.
  void RemoveOrUnload(const ReplicaRecord& replica, std::string cause) {
    if (Entry(replica) == nullptr &&
        MayRemove(server_, replica, *report_, input_)) {
      Remove(replica, std::move(cause));
    } else {
      (void)DecideUnload(record_, server_, replica.key, input_.self);
    }
  }

  void Remove(const ReplicaRecord& replica, std::string cause) {
    if (RemoveReplica(record_, server_, replica.key)) {
      outcome_.removed.push_back(Change(replica, std::move(cause)));
    }
  }

  void AdoptIfStuck(const ReplicaRecord& replica) {
    if (replica.executor == input_.self.process ||
        (replica.reason == DecisionReason::kStandby &&
         !input_.is_coordinator)) {
      return;
    }
    const bool overdue =
        input_.now_ms > input_.seen_ms(replica) + input_.order_progress_ms;
    if (!overdue && input_.executor_present(replica.executor)) {
      return;
    }
    if (AdoptOrder(record_, server_, replica.key, replica.order,
                   input_.self.process)) {
      ++outcome_.adopted;
    }
  }

  const ReportedEntry* Entry(const ReplicaRecord& replica) const {
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
           report_->read_started_ms > input_.seen_ms(replica);
  }

  ReplicaChange Change(const ReplicaRecord& replica, std::string cause) const {
    return {server_, replica.key, replica.decided_ms, replica.source,
            std::move(cause)};
  }

  CellRecord& record_;
  const std::string& server_;
  const ReconcileInput& input_;
  ReconcileOutcome& outcome_;
  const EngineReport* report_ = nullptr;
};

}  // namespace

ReconcileOutcome ReconcileCell(CellRecord& record,
                               const ReconcileInput& input) {
  ReconcileOutcome outcome;
  std::erase_if(record.failures, [&](const auto& it) {
    return input.self.now_ms > it.second.LastMs() + kKeepFailuresMs;
  });
  for (const auto& [id, facts] : input.servers) {
    if (facts.listed && facts.report && !record.servers.contains(id)) {
      UpdateServer(record, id,
                   {facts.report->memory_mb, facts.report->boot,
                    facts.report->leaving || facts.leaving,
                    facts.report->highest_fence});
    }
  }
  std::vector<std::string> ids;
  for (const auto& [id, server] : record.servers) {
    ids.push_back(id);
  }
  for (const auto& id : ids) {
    ServerReconciler(record, id, input, outcome).Run();
  }
  return outcome;
}

bool MayRemove(std::string_view server,
               const ReplicaRecord& replica,
               const EngineReport& report,
               const ReconcileInput& input) {
  if (std::ranges::all_of(replica.senders, [&](const auto& process) {
        return input.sender_done(server, replica, process);
      })) {
    return true;
  }
  if (!input.engines_check_fence) {
    return false;
  }
  // A repeated unload order is harmless, a repeated load order is not.
  return replica.state == ReplicaState::kUnloading
             ? report.highest_fence >= replica.fence
             : report.highest_fence > replica.fence;
}

}  // namespace tanagerloom
