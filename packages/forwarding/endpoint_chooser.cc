#include "forwarding/endpoint_chooser.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/id.h"
#include "fleet/endpoint_selection.h"
#include "fleet/fleet_view.h"
#include "fleet/request_profile.h"
#include "forwarding/forwarding_dependencies.h"
#include "forwarding/request_times.h"

namespace tanagerloom {

namespace {

// Ratio of requests in flight to slots from which an endpoint gets no more
// requests. They wait at this node instead, where they can still go to another
// endpoint.
constexpr double kFullLoadFactor = 2.0;

// Returns whether an endpoint gets no more requests now.
bool IsFull(const SelectionCandidate& candidate) {
  return candidate.in_flight + candidate.uncounted_in_flight >=
         kFullLoadFactor * candidate.record->slots;
}

// Removes the candidates that this node is to leave to other nodes for now. If
// there are no others, those stay that may be used alone.
void RemoveHeldBack(std::vector<SelectionCandidate>& candidates) {
  const bool alone =
      std::ranges::all_of(candidates, &SelectionCandidate::held_back);
  std::erase_if(candidates, [alone](const SelectionCandidate& it) {
    return alone ? !it.usable_alone : it.held_back;
  });
}

}  // namespace

EndpointChooser::EndpointChooser(const ForwardingDependencies& deps,
                                 const RequestProfile& profile,
                                 std::string service,
                                 TimePoint deadline)
    : deps_(deps),
      profile_(profile),
      service_(std::move(service)),
      deadline_(deadline) {}

void EndpointChooser::Exclude(const std::string& id, TimePoint until) {
  excluded_until_[id] = until;
}

std::set<std::string> EndpointChooser::Excluded() const {
  std::set<std::string> out;
  const auto now = deps_.clock.Now();
  for (const auto& [id, until] : excluded_until_) {
    if (now < until) {
      out.insert(id);
    }
  }
  return out;
}

std::vector<SelectionCandidate> EndpointChooser::WithRoom(
    const std::set<std::string>& excluded,
    const std::function<bool(const SelectionCandidate&)>& is_unsuitable) const {
  auto out = deps_.view.Candidates(service_, profile_.model, excluded);
  deps_.view.AddObservations(out);
  std::erase_if(out, [&](const SelectionCandidate& it) {
    return IsFull(it) || is_unsuitable(it);
  });
  RemoveHeldBack(out);
  return out;
}

std::optional<EndpointTarget> EndpointChooser::Choose() const {
  auto candidates = WithRoom(Excluded(), [this](const SelectionCandidate& it) {
    return IsTooSlow(it);
  });
  const auto key = profile_.SharedPromptKey();
  const auto* chosen = SelectEndpoint(
      candidates, {key, profile_.SharedPromptTokens(), RandomU64()});
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return EndpointTarget{chosen->record->id, chosen->record->boot,
                        chosen->record->address,
                        PromptTokensAt(*chosen, candidates)};
}

bool EndpointChooser::IsTooSlow(const SelectionCandidate& candidate) const {
  const double speed = deps_.view.PromptSpeedOf(service_).tokens_per_ms();
  return CannotStartInTime(candidate.prompt_tokens, speed, deps_.clock.Now(),
                           deadline_);
}

std::uint32_t EndpointChooser::PromptTokensAt(
    const SelectionCandidate& endpoint,
    std::span<const SelectionCandidate> candidates) const {
  const auto cached_at =
      SharedPromptEndpoints(candidates, profile_.SharedPromptKey());
  const bool cached =
      std::ranges::find(cached_at, &endpoint) != cached_at.end();
  return cached ? profile_.UnsharedPromptTokens() : profile_.prompt_tokens;
}

bool EndpointChooser::HasRoom() const {
  return !WithRoom({}, [](const SelectionCandidate&) { return false; }).empty();
}

bool EndpointChooser::HasOther(const std::string& id) const {
  auto excluded = Excluded();
  excluded.insert(id);
  return !deps_.view.Candidates(service_, profile_.model, excluded).empty();
}

}  // namespace tanagerloom
