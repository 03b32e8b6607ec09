#include "placement/engine_monitor.h"

#include <algorithm>
#include <chrono>

#include "placement/task_group.h"
#include "ports/engine_control.h"

namespace tanagerloom {

namespace {

constexpr std::chrono::seconds kLongestWait{2};

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

std::uint64_t LocalMs(const Clock& clock) {
  return 1 + static_cast<std::uint64_t>(
                 std::chrono::duration_cast<std::chrono::milliseconds>(
                     clock.Now().time_since_epoch())
                     .count());
}

EngineMonitor::EngineMonitor(EngineControl& engines,
                             const Clock& clock,
                             TaskGroup& tasks,
                             std::function<void()> on_report)
    : engines_(engines),
      clock_(clock),
      tasks_(tasks),
      on_report_(std::move(on_report)) {}

void EngineMonitor::SetVms(const std::vector<Vm>& vms) {
  const auto now_ms = LocalMs(clock_);
  std::set<std::string> listed;
  for (const auto& vm : vms) {
    listed.insert(vm.id);
    auto& poll = polls_[vm.id];
    poll.address = vm.address;
    poll.data_centre = vm.data_centre;
    auto& facts = facts_[vm.id];
    facts.listed = true;
    facts.was_listed = true;
    facts.leaving = vm.leaving;
  }
  for (auto& [id, facts] : facts_) {
    if (facts.listed && !listed.contains(id)) {
      facts.listed = false;
      facts.unlisted_since_ms = now_ms;
    }
  }
}

void EngineMonitor::AddUnlisted(const std::string& server) {
  const auto [it, added] = facts_.try_emplace(server);
  if (added) {
    it->second.unlisted_since_ms = LocalMs(clock_);
  }
}

void EngineMonitor::PollDue(const std::map<std::string, Duration>& intervals) {
  const auto now = clock_.Now();
  for (const auto& [server, interval] : intervals) {
    const auto it = polls_.find(server);
    if (it == polls_.end() || it->second.reading ||
        (it->second.last_started &&
         now < *it->second.last_started + interval)) {
      continue;
    }
    it->second.reading = true;
    it->second.last_started = now;
    tasks_.Spawn([this, id = server] { Read(id); });
  }
}

void EngineMonitor::Read(const std::string& server) {
  const auto started_ms = LocalMs(clock_);
  auto state = engines_.ReadState(polls_[server].address);
  auto& facts = facts_[server];
  const bool reachable = state.has_value();
  facts.reachable = reachable;
  if (reachable) {
    facts.report = ToReport(std::move(state).assume_value(), started_ms);
  }
  if (reachable && load_wanted_.contains(server)) {
    const auto load_started_ms = LocalMs(clock_);
    const auto load = engines_.ReadLoad(polls_[server].address);
    if (load) {
      facts_[server].load =
          ServerLoad{load_started_ms, load.assume_value().running,
                     load.assume_value().waiting};
    }
  }
  polls_[server].reading = false;
  on_report_();
}

void EngineMonitor::SetLoadWanted(std::set<std::string> servers) {
  load_wanted_ = std::move(servers);
}

void EngineMonitor::ForcePoll(const std::string& server) {
  const auto it = polls_.find(server);
  if (it != polls_.end()) {
    it->second.last_started.reset();
  }
}

void EngineMonitor::Invalidate() {
  for (auto& [id, poll] : polls_) {
    poll.last_started.reset();
  }
  for (auto& [id, facts] : facts_) {
    facts.reachable = false;
    facts.load.reset();
  }
}

Duration EngineMonitor::UntilDue(
    const std::map<std::string, Duration>& intervals) const {
  Duration least = kLongestWait;
  const auto now = clock_.Now();
  for (const auto& [server, interval] : intervals) {
    const auto it = polls_.find(server);
    if (it == polls_.end() || it->second.reading) {
      continue;
    }
    least = std::min(least, it->second.last_started
                                ? *it->second.last_started + interval - now
                                : Duration::zero());
  }
  return std::max(least, Duration::zero());
}

std::optional<Address> EngineMonitor::AddressOf(
    const std::string& server) const {
  const auto it = polls_.find(server);
  return it == polls_.end() ? std::nullopt : std::optional(it->second.address);
}

std::string EngineMonitor::DataCentreOf(const std::string& server) const {
  const auto it = polls_.find(server);
  return it == polls_.end() ? "" : it->second.data_centre;
}

}  // namespace tanagerloom
