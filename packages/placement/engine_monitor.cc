#include "placement/engine_monitor.h"

#include <algorithm>
#include <chrono>

#include "placement/task_group.h"
#include "ports/engine_control.h"

namespace tanagerloom {

namespace {

// Upper limit of TimeUntilNextPoll().
constexpr std::chrono::seconds kMaxWait{2};

WeightSource ToWeightSource(CheckpointSource source) {
  switch (source) {
    case CheckpointSource::kMemory:
      return WeightSource::kMemory;
    case CheckpointSource::kDisk:
      return WeightSource::kDisk;
    case CheckpointSource::kRemote:
      return WeightSource::kRemote;
  }
  return WeightSource::kRemote;
}

ReportedEntry::State ToState(EngineReplicaState state) {
  switch (state) {
    case EngineReplicaState::kLoading:
      return ReportedEntry::State::kLoading;
    case EngineReplicaState::kLoaded:
      return ReportedEntry::State::kLoaded;
    case EngineReplicaState::kFailed:
      return ReportedEntry::State::kFailed;
  }
  return ReportedEntry::State::kLoading;
}

EngineReport ToReport(EngineState state, std::uint64_t read_started_ms) {
  EngineReport report{.read_started_ms = read_started_ms,
                      .boot = std::move(state.boot),
                      .sequence = state.sequence,
                      .highest_fence = state.highest_fence,
                      .memory_mb = state.memory_mb,
                      .used_mb = state.used_mb,
                      .leaving = state.leaving,
                      .cached = {},
                      .entries = {}};
  for (const auto& [model, source] : state.cached) {
    report.cached[model] = ToWeightSource(source);
  }
  for (auto& it : state.entries) {
    report.entries.push_back(
        {{std::move(it.model), std::move(it.version), std::move(it.adapter)},
         ToState(it.state),
         std::move(it.order),
         std::move(it.cause)});
  }
  return report;
}

}  // namespace

std::uint64_t MonotonicMs(const Clock& clock) {
  return 1 + static_cast<std::uint64_t>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     clock.Now().time_since_epoch())
                     .count());
}

EngineMonitor::EngineMonitor(EngineControl& engine_control,
                             const Clock& clock,
                             TaskGroup& tasks,
                             std::function<void()> on_report)
    : engine_control_(engine_control),
      clock_(clock),
      tasks_(tasks),
      on_report_(std::move(on_report)) {}

void EngineMonitor::SetVms(const std::vector<Vm>& vms) {
  const auto now_ms = MonotonicMs(clock_);
  std::set<std::string> listed;
  for (const auto& vm : vms) {
    listed.insert(vm.id);
    auto& poll_state = poll_states_[vm.id];
    poll_state.address = vm.address;
    poll_state.data_centre = vm.data_centre;
    auto& status = statuses_[vm.id];
    status.listed = true;
    status.was_listed = true;
    status.leaving = vm.leaving;
  }
  for (auto& [id, status] : statuses_) {
    if (status.listed && !listed.contains(id)) {
      status.listed = false;
      status.unlisted_since_ms = now_ms;
    }
  }
}

void EngineMonitor::AddUnlisted(const std::string& engine) {
  const auto [it, added] = statuses_.try_emplace(engine);
  if (added) {
    it->second.unlisted_since_ms = MonotonicMs(clock_);
  }
}

void EngineMonitor::PollDueEngines(
    const std::map<std::string, Duration>& intervals) {
  const auto now = clock_.Now();
  for (const auto& [engine, interval] : intervals) {
    const auto it = poll_states_.find(engine);
    if (it == poll_states_.end() || it->second.reading ||
        (it->second.last_started &&
         now < *it->second.last_started + interval)) {
      continue;
    }
    it->second.reading = true;
    it->second.last_started = now;
    tasks_.Spawn([this, id = engine] { ReadEngine(id); });
  }
}

void EngineMonitor::ReadEngine(const std::string& engine) {
  const auto started_ms = MonotonicMs(clock_);
  auto state = engine_control_.ReadState(poll_states_[engine].address);
  auto& status = statuses_[engine];
  const bool reachable = state.has_value();
  status.reachable = reachable;
  if (reachable) {
    status.report = ToReport(std::move(state).assume_value(), started_ms);
  }
  if (reachable && engines_to_read_load_from_.contains(engine)) {
    const auto load_started_ms = MonotonicMs(clock_);
    const auto load = engine_control_.ReadLoad(poll_states_[engine].address);
    if (load) {
      statuses_[engine].load =
          EngineLoadReport{load_started_ms, load.assume_value().running,
                           load.assume_value().waiting};
    }
  }
  poll_states_[engine].reading = false;
  on_report_();
}

void EngineMonitor::SetEnginesToReadLoadFrom(std::set<std::string> engines) {
  engines_to_read_load_from_ = std::move(engines);
}

void EngineMonitor::ForcePoll(const std::string& engine) {
  const auto it = poll_states_.find(engine);
  if (it != poll_states_.end()) {
    it->second.last_started.reset();
  }
}

void EngineMonitor::Invalidate() {
  for (auto& [id, poll_state] : poll_states_) {
    poll_state.last_started.reset();
  }
  for (auto& [id, status] : statuses_) {
    status.reachable = false;
    status.load.reset();
  }
}

Duration EngineMonitor::TimeUntilNextPoll(
    const std::map<std::string, Duration>& intervals) const {
  Duration min_wait = kMaxWait;
  const auto now = clock_.Now();
  for (const auto& [engine, interval] : intervals) {
    const auto it = poll_states_.find(engine);
    if (it == poll_states_.end() || it->second.reading) {
      continue;
    }
    min_wait =
        std::min(min_wait, it->second.last_started
                               ? *it->second.last_started + interval - now
                               : Duration::zero());
  }
  return std::max(min_wait, Duration::zero());
}

std::optional<Address> EngineMonitor::AddressOf(
    const std::string& engine) const {
  const auto it = poll_states_.find(engine);
  return it == poll_states_.end() ? std::nullopt
                                  : std::optional(it->second.address);
}

std::string EngineMonitor::DataCentreOf(const std::string& engine) const {
  const auto it = poll_states_.find(engine);
  return it == poll_states_.end() ? "" : it->second.data_centre;
}

}  // namespace tanagerloom
