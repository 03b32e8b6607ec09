#include "forwarding/endpoint_statements.h"

#include <chrono>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "fleet/fleet_view.h"
#include "forwarding/request_protocol.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Validity of the notice that an endpoint leaves. By then the list of endpoints
// surely says so.
constexpr std::chrono::milliseconds kNoticeValidity{60000};

EndpointNotice MakeNotice(const EndpointInstance& endpoint) {
  return {endpoint.id, EndpointCondition::kLeaving,
          static_cast<std::uint64_t>(kNoticeValidity.count()), endpoint.boot};
}

}  // namespace

void EndpointStatements::OnResponse(const EndpointInstance& endpoint,
                                    const ResponseTraits& traits,
                                    const std::string& request) {
  if (traits.wrong_endpoint) {
    return;  // Another instance made the statements.
  }
  if (traits.load) {
    view_.OnReportedLoad(endpoint.id, endpoint.boot, *traits.load);
  }
  if (traits.is_full) {
    view_.OnRefused(endpoint.id, endpoint.boot);
  }
  if (!traits.invalid_statement.empty()) {
    log_.Record(events::kStatementInvalid,
                {{"endpoint", endpoint.id},
                 {"request", request},
                 {"header", traits.invalid_statement}});
  }
  if (traits.statement.leaving) {
    OnLeaving(endpoint, request);
  }
  if (traits.statement.pause &&
      view_.OnPause(endpoint.id, endpoint.boot,
                    clock_.Now() + *traits.statement.pause)) {
    log_.Record(events::kEndpointSaidPause,
                {{"endpoint", endpoint.id},
                 {"boot", endpoint.boot},
                 {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                            *traits.statement.pause)
                            .count()},
                 {"request", request}});
  }
}

void EndpointStatements::OnLeaving(const EndpointInstance& endpoint,
                                   const std::string& request) {
  if (!view_.OnLeaving(endpoint.id, endpoint.boot)) {
    return;
  }
  RecordLeaving(endpoint, request);
  auto& heard = heard_leaving_[endpoint.id];
  heard = {endpoint.boot, clock_.Now() + kNoticeValidity, ReachablePeers()};
  peers_.Broadcast(MakeNotice(endpoint));
}

std::set<std::string> EndpointStatements::ReachablePeers() const {
  std::set<std::string> out;
  for (const auto& it : peers_.Members()) {
    if (it.reachable && it.vm.id != peers_.node_id()) {
      out.insert(it.vm.id + "/" + it.incarnation);
    }
  }
  return out;
}

void EndpointStatements::TellReturnedPeers() {
  std::erase_if(heard_leaving_, [now = clock_.Now()](const auto& it) {
    return it.second.valid_until <= now;
  });
  if (heard_leaving_.empty()) {
    return;
  }
  const auto reachable = ReachablePeers();
  for (auto& [id, heard] : heard_leaving_) {
    std::set<std::string> told;
    for (const auto& it : reachable) {
      const auto node = it.substr(0, it.find('/'));
      if (heard.told.contains(it) ||
          peers_.Send(node, MakeNotice({id, heard.boot}))) {
        told.insert(it);
      }
    }
    heard.told = std::move(told);
  }
}

void EndpointStatements::OnNotice(const EndpointNotice& notice) {
  if (notice.condition == EndpointCondition::kLeaving && notice.boot != 0 &&
      view_.OnLeaving(notice.endpoint, notice.boot)) {
    RecordLeaving({notice.endpoint, notice.boot}, "");
  }
}

void EndpointStatements::RecordLeaving(const EndpointInstance& endpoint,
                                       const std::string& request) {
  log_.Record(events::kEndpointSaidLeaving,
              {{"endpoint", endpoint.id},
               {"boot", endpoint.boot},
               {"listed", view_.directory().Find(endpoint.id) != nullptr},
               {"request", request}});
}

}  // namespace tanagerloom
