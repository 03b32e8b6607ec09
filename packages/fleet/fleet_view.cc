#include "fleet/fleet_view.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fleet/reported_load.h"

namespace tanagerloom {

namespace {

// Network latency and the decoding step that makes the first event.
constexpr Duration kFixedAnswerTime = std::chrono::milliseconds(10);

}  // namespace

FleetView::FleetView(std::string data_centre, const Clock& clock)
    : data_centre_(std::move(data_centre)), clock_(clock), observer_(clock) {}

void FleetView::OnLoadedModels(const LoadedModelsNotice& notice) {
  auto& known = notices_[notice.endpoint];
  const auto notice_order = [](const LoadedModelsNotice& it) {
    return std::tuple(it.boot, it.fence, it.number);
  };
  if (notice_order(notice) < notice_order(known.notice)) {
    return;
  }
  known.notice = notice;
  known.received_at = clock_.Now();
  known.models.clear();
  for (const auto& it : notice.models) {
    known.models[it.model] = {it.adapters.begin(), it.adapters.end()};
  }
  changed_.Signal();
}

void FleetView::OnPeerUse(const std::string& peer, const EndpointUse& use) {
  auto& known = peer_use_[peer];
  known.received_at = clock_.Now();
  known.in_flight.clear();
  for (std::size_t i = 0; i < use.endpoints.size(); ++i) {
    known.in_flight[use.endpoints[i]] = {use.in_progress[i],
                                         use.prompt_tokens[i]};
  }
}

void FleetView::OnLoadEstimates(const LoadEstimate& load_estimate) {
  auto& known = load_estimates_[load_estimate.service];
  if (std::tuple(load_estimate.fence, load_estimate.number) <
      std::tuple(known.fence, known.number)) {
    return;
  }
  const auto now = clock_.Now();
  known = {load_estimate.fence, load_estimate.number, now, {}};
  for (std::size_t i = 0; i < load_estimate.models.size(); ++i) {
    known.ready_at[load_estimate.models[i]] =
        now + std::chrono::milliseconds(load_estimate.ready_in_ms[i]);
  }
  changed_.Signal();
}

std::optional<TimePoint> FleetView::ReadyAt(const std::string& service,
                                            const std::string& model) const {
  const auto service_estimates = load_estimates_.find(service);
  if (service_estimates == load_estimates_.end() ||
      clock_.Now() - service_estimates->second.received_at >=
          kLoadEstimateTimeout) {
    return std::nullopt;
  }
  const auto it = service_estimates->second.ready_at.find(model);
  return it == service_estimates->second.ready_at.end()
             ? std::nullopt
             : std::optional(it->second);
}

const LoadedModels& FleetView::LoadedModelsOf(
    const EndpointRecord& record) const {
  const auto it = notices_.find(record.id);
  const bool newer = it != notices_.end() &&
                     it->second.notice.boot == record.boot &&
                     directory_.ChangedAt(record.id) <
                         it->second.received_at + kNoticePrecedence;
  return newer ? it->second.models : record.models;
}

void FleetView::OnModelNotLoaded(const std::string& id, const ModelRef& model) {
  not_loaded_until_[{id, model}] = clock_.Now() + kNotLoadedTimeout;
}

bool FleetView::IsMarkedNotLoaded(const std::string& id,
                                  const ModelRef& model) const {
  const auto it = not_loaded_until_.find({id, model});
  return it != not_loaded_until_.end() && clock_.Now() < it->second;
}

bool FleetView::OnLeaving(const std::string& id, std::uint64_t boot) {
  const bool news = directory_.OnLeaving(id, boot, clock_.Now());
  if (news) {
    changed_.Signal();
  }
  return news;
}

bool FleetView::OnPause(const std::string& id,
                        std::uint64_t boot,
                        TimePoint until) {
  auto& pause = pauses_[id];
  if (boot < pause.boot || (boot == pause.boot && until <= pause.until)) {
    return false;
  }
  pause = {boot, until};
  if (const auto* record = FindStart(id, boot)) {
    observer_.OnPause(*record, until);
  }
  changed_.Signal();
  return true;
}

bool FleetView::IsPaused(const EndpointRecord& record) const {
  const auto it = pauses_.find(record.id);
  return it != pauses_.end() && it->second.boot == record.boot &&
         clock_.Now() < it->second.until;
}

bool FleetView::AcceptsRequests(const std::string& id,
                                std::uint64_t boot) const {
  const auto* record = directory_.Find(id);
  return record != nullptr && record->boot == boot && !record->draining &&
         !IsPaused(*record);
}

std::optional<TimePoint> FleetView::PausedUntil(std::string_view service,
                                                const ModelRef& model) const {
  std::optional<TimePoint> out;
  for (const auto& [id, record] : directory_.records()) {
    if (record.service != service || record.draining ||
        !HasLoaded(record, model)) {
      continue;
    }
    if (!IsPaused(record)) {
      return std::nullopt;
    }
    const auto until = pauses_.find(id)->second.until;
    out = out ? std::min(*out, until) : until;
  }
  return out;
}

std::size_t FleetView::SetAsideCount() const {
  const auto& records = directory_.records();
  return static_cast<std::size_t>(
      std::ranges::count_if(records, [this](const auto& it) {
        return it.second.draining || IsPaused(it.second);
      }));
}

const EndpointRecord* FleetView::FindStart(const std::string& id,
                                           std::uint64_t boot) const {
  const auto* record = directory_.Find(id);
  return record != nullptr && record->boot == boot ? record : nullptr;
}

void FleetView::OnReportedLoad(const std::string& id,
                               std::uint64_t boot,
                               const ReportedLoad& load) {
  if (const auto* record = FindStart(id, boot)) {
    observer_.OnReport(*record, load, OwnInFlight(id));
  }
}

void FleetView::OnRefused(const std::string& id, std::uint64_t boot) {
  if (const auto* record = FindStart(id, boot)) {
    observer_.OnRefused(*record);
  }
}

void FleetView::OnFirstEvent(const std::string& id,
                             std::uint64_t boot,
                             std::uint32_t prompt_tokens,
                             Duration delay) {
  const auto* record = FindStart(id, boot);
  if (record == nullptr) {
    return;
  }
  const std::chrono::duration<double, std::milli> reading(
      prompt_tokens / prompt_speeds_[record->service].tokens_per_ms());
  observer_.OnFirstEvent(
      *record, delay,
      kFixedAnswerTime + std::chrono::duration_cast<Duration>(reading));
}

void FleetView::OnSilent(const std::string& id, std::uint64_t boot) {
  if (const auto* record = FindStart(id, boot)) {
    observer_.OnSilent(*record);
  }
}

void FleetView::OnUnreachable(const std::string& id, std::uint64_t boot) {
  auto& health = health_[id];
  health.OnUnreachable(clock_.Now());
  if (const auto* record = FindStart(id, boot)) {
    observer_.OnUnreachable(*record, health.backoff_until());
  }
}

void FleetView::BeginUse(const std::string& id, std::uint32_t prompt_tokens) {
  auto& use = local_use_[id];
  ++use.requests;
  use.prompt_tokens += prompt_tokens;
}

void FleetView::EndPrompt(const std::string& id, std::uint32_t prompt_tokens) {
  const auto it = local_use_.find(id);
  if (it != local_use_.end()) {
    it->second.prompt_tokens -=
        std::min(it->second.prompt_tokens, prompt_tokens);
  }
}

void FleetView::EndUse(const std::string& id) {
  const auto it = local_use_.find(id);
  if (it != local_use_.end() && --it->second.requests == 0) {
    local_use_.erase(it);
  }
}

EndpointUse FleetView::LocalUse() const {
  EndpointUse use;
  for (const auto& [id, n] : local_use_) {
    use.endpoints.push_back(id);
    use.in_progress.push_back(n.requests);
    use.prompt_tokens.push_back(n.prompt_tokens);
  }
  return use;
}

std::uint32_t FleetView::OwnInFlight(const std::string& id) const {
  const auto it = local_use_.find(id);
  return it == local_use_.end() ? 0 : it->second.requests;
}

FleetView::UseCount FleetView::InFlight(const std::string& id) const {
  const auto local = local_use_.find(id);
  auto n = local == local_use_.end() ? UseCount() : local->second;
  const auto now = clock_.Now();
  for (const auto& [peer, use] : peer_use_) {
    const auto it = use.in_flight.find(id);
    if (it != use.in_flight.end() && now - use.received_at < kPeerUseTimeout) {
      n.requests += it->second.requests;
      n.prompt_tokens += it->second.prompt_tokens;
    }
  }
  return n;
}

bool FleetView::HasLoaded(const EndpointRecord& record,
                          const ModelRef& model) const {
  if (model.model.empty()) {
    return true;
  }
  const auto& loaded = LoadedModelsOf(record);
  const auto it = loaded.find(model.model);
  return it != loaded.end() &&
         (model.adapter.empty() || it->second.contains(model.adapter)) &&
         !IsMarkedNotLoaded(record.id, model);
}

bool FleetView::CanRun(const std::string& id, const ModelRef& model) const {
  const auto* record = directory_.Find(id);
  return record != nullptr && HasLoaded(*record, model);
}

std::vector<SelectionCandidate> FleetView::Candidates(
    std::string_view service,
    const ModelRef& model,
    const std::set<std::string>& excluded) const {
  const auto now = clock_.Now();
  std::vector<SelectionCandidate> out;
  for (const auto& [id, record] : directory_.records()) {
    if (record.service != service || record.draining || excluded.contains(id) ||
        IsPaused(record) || !HasLoaded(record, model)) {
      continue;
    }
    const auto use = InFlight(id);
    SelectionCandidate candidate{&record, use.requests, 0,
                                 record.data_centre == data_centre_,
                                 use.prompt_tokens};
    const auto health = health_.find(id);
    if (health != health_.end()) {
      if (!health->second.AllowsRequests(now)) {
        continue;
      }
      candidate.failure_rate = health->second.FailureRate(now);
    }
    out.push_back(candidate);
  }
  return out;
}

void FleetView::AddObservations(std::span<SelectionCandidate> candidates) {
  for (auto& it : candidates) {
    const auto own = OwnInFlight(it.record->id);
    const auto known_others = peer_use_.empty()
                                  ? std::nullopt
                                  : std::optional<double>(it.in_flight - own);
    observer_.Describe(it, own, known_others);
  }
}

void FleetView::Prune() {
  const auto now = clock_.Now();
  const auto unknown = [this](const auto& it) {
    return directory_.Find(it.first) == nullptr;
  };
  std::erase_if(notices_, unknown);
  std::erase_if(health_, unknown);
  observer_.Prune(
      [this](std::string_view id) { return directory_.Find(id) == nullptr; });
  // An entry may lapse and come back within a pause.
  std::erase_if(pauses_,
                [&](const auto& it) { return it.second.until <= now; });
  std::erase_if(not_loaded_until_,
                [&](const auto& it) { return it.second <= now; });
  std::erase_if(peer_use_, [&](const auto& it) {
    return now - it.second.received_at >= kPeerUseTimeout;
  });
}

}  // namespace tanagerloom
