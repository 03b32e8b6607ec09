// Defines WaitingLists, which holds the requests of a node that wait for an
// endpoint and wakes those that get a place.
#ifndef FORWARDING_WAITING_LISTS_H_
#define FORWARDING_WAITING_LISTS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decision/fair_shares.h"
#include "fleet/model_ref.h"
#include "forwarding/waiting_list.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class FleetView;

/// What a request waits for.
struct WaitTarget {
  std::string service;
  ModelRef model;

  auto operator<=>(const WaitTarget&) const = default;
};

/// A request that waits; its fiber owns it.
struct WaitingRequest {
  WaitTarget target;
  WaitingEntry entry;
  /// Takes a place for the request if one suits it. Must not suspend.
  std::function<OfferResult()> offer;
  /// Returns whether there is a place that suits the request.
  std::function<bool()> has_place;
  /// Returns whether the request must not be sent any more.
  std::function<bool()> must_end;
  /// Whether the request may be refused because its turn comes too late.
  bool refusable = false;

  bool ended = false;  ///< Whether it no longer waits, with a place or without.
  std::optional<WaitTooLong> too_long;
  EventFlag changed;  ///< Signalled when `ended` is set.
};

/// The waiting requests of all targets. One fiber serves them while there are
/// any, when the view changes and at an interval.
class WaitingLists {
 public:
  /// `stop_at` returns when requests in flight end because the node stops.
  WaitingLists(FleetView& view,
               const Clock& clock,
               std::function<TimePoint()> stop_at)
      : view_(view), clock_(clock), stop_at_(std::move(stop_at)) {}
  WaitingLists(const WaitingLists&) = delete;
  WaitingLists& operator=(const WaitingLists&) = delete;

  /// Adds a request, behind those of higher or equal right. It may have its
  /// place, or be ended, when this returns. Call Leave() for it in any case.
  void Enter(WaitingRequest& request);

  /// Removes a request; does nothing if it does not wait.
  void Leave(WaitingRequest& request);

  /// An endpoint ended a request, or read its prompt.
  void OnPlaceFreed(const std::string& service, const std::string& endpoint);

  /// Returns what waits for places now, and what was served since the last
  /// call, by service.
  std::vector<WaitingReport> TakeReports();

  /// Takes what waits for a service at other nodes, until `until`, and what
  /// they served since the last call.
  void OnElsewhere(const WaitingReport& elsewhere, TimePoint until);

  /// Number of waiting requests of a priority.
  std::size_t CountOf(std::uint32_t priority) const;

 private:
  struct List {
    explicit List(FairShares& shares) : list(shares) {}

    WaitingList list;
    std::map<std::uint64_t, WaitingRequest*> requests;  ///< By id.
  };

  List& ListOf(const WaitTarget& target);
  /// Body of the fiber; ends when no request waits.
  void Loop();
  void ServeAll();
  /// Number of endpoints that serve a target; at least one if they only pause.
  std::size_t EndpointsOf(const WaitTarget& target) const;
  /// Gives free places to the requests of a list.
  void Serve(List& list);
  /// Ends the requests for which no endpoint is ready in time.
  void EndHopeless(const WaitTarget& target, List& list);
  /// Ends the requests that may not wait until `time`.
  void EndBefore(List& list, TimePoint time);
  /// Ends the requests that must not be sent any more.
  void EndForbidden(List& list);
  /// Ends a request whose turn surely comes too late.
  void Review(List& list, WaitingRequest& request);
  /// Ends the wait of a request and wakes its fiber.
  void End(List& list, WaitingRequest& request);

  FleetView& view_;
  const Clock& clock_;
  std::function<TimePoint()> stop_at_;
  std::map<std::string, FairShares> shares_;  ///< By service.
  std::map<WaitTarget, List> lists_;          ///< Those with waiting requests.
  std::map<std::uint32_t, std::size_t> counts_;  ///< By priority.
  std::uint64_t last_id_ = 0;
  bool running_ = false;  ///< Whether the fiber runs.
  TimePoint checked_at_{};
};

}  // namespace tanagerloom

#endif  // FORWARDING_WAITING_LISTS_H_
