#include "placement/order_executor.h"

#include <algorithm>
#include <chrono>
#include <set>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "placement/engine_monitor.h"
#include "placement/task_group.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialRetryDelay{200};
constexpr milliseconds kMaxRetryDelay{2000};

CheckpointSource ToCheckpointSource(WeightSource source) {
  switch (source) {
    case WeightSource::kMemory:
      return CheckpointSource::kMemory;
    case WeightSource::kDisk:
      return CheckpointSource::kDisk;
    case WeightSource::kRemote:
      return CheckpointSource::kRemote;
  }
  return CheckpointSource::kRemote;
}

EngineOrder ToOrder(const ReplicaRecord& replica) {
  return {.order = replica.order,
          .fence = replica.fence,
          .action = replica.state == ReplicaState::kUnloading
                        ? OrderAction::kUnload
                        : OrderAction::kLoad,
          .model = replica.key.model,
          .version = replica.key.version,
          .adapter = replica.key.adapter,
          .memory_mb = replica.memory_mb,
          .source = ToCheckpointSource(replica.source)};
}

}  // namespace

OrderExecutor::OrderExecutor(EngineControl& engine_control,
                             const Clock& clock,
                             EventLog& log,
                             TaskGroup& tasks,
                             std::string self,
                             Duration sender_gone,
                             ExecutorHooks hooks)
    : engine_control_(engine_control),
      clock_(clock),
      log_(log),
      tasks_(tasks),
      self_(std::move(self)),
      sender_gone_(sender_gone),
      hooks_(std::move(hooks)) {}

bool OrderExecutor::IsOpen(const ReplicaRecord& replica) const {
  return replica.executor == self_ && replica.state != ReplicaState::kLoaded &&
         !answers_.contains(replica.order);
}

void OrderExecutor::Sync(const CellRecord& record) {
  ForgetObsoleteOrders(record);
  const auto now = clock_.Now();
  for (const auto& [id, engine] : record.engines) {
    for (const auto& replica : engine.replicas) {
      const auto it = outgoing_.find(replica.order);
      const bool unconfirmed = it != outgoing_.end() && it->second.unconfirmed;
      // An order without an answer is retried even if another process has
      // adopted it or the engine reports its effect. Only an answer proves that
      // no send of this process can still reach the engine.
      if (!unconfirmed && (!IsOpen(replica) || stopping_)) {
        continue;
      }
      auto& outgoing = outgoing_[replica.order];
      if (outgoing.engine.empty()) {
        outgoing.engine = id;
        outgoing.replica = replica;
      }
      if (outgoing.sending || now < outgoing.next_send ||
          (!unconfirmed && hooks_.must_wait(id, replica))) {
        continue;
      }
      outgoing.sending = true;
      tasks_.Spawn([this, order = replica.order] { Send(order); });
    }
  }
}

void OrderExecutor::ForgetObsoleteOrders(const CellRecord& record) {
  std::set<std::string_view> current;
  for (const auto& [id, engine] : record.engines) {
    for (const auto& replica : engine.replicas) {
      current.insert(replica.order);
    }
  }
  const auto now = clock_.Now();
  std::erase_if(outgoing_, [&](const auto& it) {
    const auto& outgoing = it.second;
    if (outgoing.sending) {
      return false;
    }
    if (!outgoing.unconfirmed) {
      return !current.contains(it.first);
    }
    // The connection of a call without an answer is closed. Its data is assumed
    // lost after the same time as that of a sender that is gone.
    return !current.contains(it.first) &&
           now > outgoing.last_sent + sender_gone_;
  });
  std::erase_if(answers_,
                [&](const auto& it) { return !current.contains(it.first); });
}

void OrderExecutor::Send(const std::string& order) {
  const auto engine = outgoing_[order].engine;
  const auto replica = outgoing_[order].replica;
  const auto address = hooks_.find_address(engine);
  if (!address || !hooks_.may_send(engine, replica)) {
    outgoing_[order].sending = false;
    ScheduleRetry(outgoing_[order]);
    return;
  }
  auto& outgoing = outgoing_[order];
  outgoing.unconfirmed = true;
  outgoing.last_sent = clock_.Now();
  ++outgoing.attempts;
  ++orders_sent_;
  log_.Record(events::kOrderSent, {{"server", engine},
                                   {"order", order},
                                   {"fence", replica.fence},
                                   {"model", replica.key.ToString()}});
  HandleAnswer(order, engine_control_.Send(*address, ToOrder(replica)));
  hooks_.on_answer();
}

void OrderExecutor::HandleAnswer(const std::string& order,
                                 Result<OrderAnswer> answer) {
  auto& outgoing = outgoing_[order];
  outgoing.sending = false;
  if (!answer) {
    const auto& error = answer.assume_error();
    // A refused connection proves that this send did not reach the engine, but
    // an earlier one may have.
    if (error.kind == ErrorKind::kUnavailable && outgoing.attempts == 1) {
      outgoing.unconfirmed = false;
      outgoing.attempts = 0;
    }
    log_.Record(events::kOrderFailed, {{"server", outgoing.engine},
                                       {"order", order},
                                       {"cause", error.message}});
    ScheduleRetry(outgoing);
    return;
  }
  OrderStatus status{.answered = true,
                     .answered_ms = MonotonicMs(clock_),
                     .refused = false,
                     .reason = ""};
  if (const auto* refused = std::get_if<OrderRefused>(&answer.assume_value())) {
    status.refused = true;
    status.reason = refused->reason;
    log_.Record(events::kOrderFailed, {{"server", outgoing.engine},
                                       {"order", order},
                                       {"cause", refused->reason}});
  }
  answers_[order] = std::move(status);
  outgoing_.erase(order);
}

void OrderExecutor::ScheduleRetry(OutgoingOrder& outgoing) {
  const auto doubled =
      kInitialRetryDelay * (1U << std::min(outgoing.attempts, 4U));
  const auto delay = std::min<milliseconds>(doubled, kMaxRetryDelay);
  // Jitter keeps executors that failed in the same outage from retrying at the
  // same time.
  outgoing.next_send = clock_.Now() + std::chrono::duration_cast<Duration>(
                                          delay * (0.5 + RandomUnit() / 2));
}

bool OrderExecutor::HasOrderInFlight(std::string_view engine,
                                     const ModelKey& key) const {
  return std::ranges::any_of(outgoing_, [&](const auto& it) {
    const auto& outgoing = it.second;
    return (outgoing.sending || outgoing.unconfirmed) &&
           outgoing.engine == engine && outgoing.replica.key == key;
  });
}

void OrderExecutor::RecordAnswer(const std::string& order) {
  auto& status = answers_[order];
  if (!status.answered) {
    status.answered = true;
    status.answered_ms = MonotonicMs(clock_);
  }
}

bool OrderExecutor::IsUnconfirmed(const std::string& order) const {
  const auto it = outgoing_.find(order);
  return it != outgoing_.end() && it->second.unconfirmed;
}

bool OrderExecutor::IsSendStarted(const std::string& order) const {
  const auto it = outgoing_.find(order);
  return answers_.contains(order) ||
         (it != outgoing_.end() &&
          (it->second.sending || it->second.unconfirmed));
}

bool OrderExecutor::HasOrdersInFlight() const {
  return std::ranges::any_of(outgoing_, [](const auto& it) {
    return it.second.sending || it.second.unconfirmed;
  });
}

}  // namespace tanagerloom
