// Defines EndpointTable, the state of the endpoints that this node sends
// requests to. It combines this node's observations, load reports and the
// notices of peers.
#ifndef ROUTING_ENDPOINT_TABLE_H_
#define ROUTING_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "base/address.h"
#include "decision/endpoint_breaker.h"
#include "decision/endpoint_choice.h"
#include "ports/peer_message.h"
#include "ports/vm_list.h"
#include "routing/routing_dependencies.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// The state of one endpoint as known to this node.
struct EndpointState {
  /// A peer's number of requests in flight at the endpoint.
  struct PeerUse {
    std::uint32_t in_flight = 0;
    TimePoint received_at;
  };

  Address address;
  bool is_engine = false;
  std::uint32_t own_in_flight = 0;          ///< This node's requests in flight.
  std::map<std::string, PeerUse> peer_use;  ///< By incarnation of the node.
  /// Running and waiting requests by the endpoint's last load report.
  std::uint32_t reported_load = 0;
  TimePoint reported_at;
  EndpointBreaker breaker;
  /// The endpoint asked not to be sent new work until then.
  TimePoint backpressure_until;
  /// The endpoint drains by its own or a peer's notice until then. Draining by
  /// the VM list is kept apart, in EndpointTable::leaving_.
  TimePoint leaving_until;
  /// Id of the request that this node reserved the endpoint for, to run alone;
  /// else empty.
  std::string reserved_by;
  TimePoint reserved_at;
  /// A peer has reserved the endpoint, or announced its overload, until then.
  TimePoint exclusive_until;
  /// Hashes of the prompt prefixes in the engine's cache.
  std::unordered_set<std::uint64_t> cached_prefixes;
  std::uint64_t cache_sequence = 0;  ///< Last cache event read.
  bool reading_reports = false;      ///< A read of its reports is in flight.
  TimePoint used_at;
};

/// The endpoints that this node has sent requests to or received notices about.
class EndpointTable {
 public:
  explicit EndpointTable(const RoutingDependencies& deps);

  /// The state of an endpoint; added if it is unknown.
  EndpointState& Get(const std::string& endpoint);
  std::map<std::string, EndpointState>& states() { return states_; }

  /// The endpoint as a candidate for ChooseEndpoint(). `own` is the number of
  /// this node's requests that count against `limit`.
  EndpointCandidate MakeCandidate(const std::string& endpoint,
                                  const std::string& data_centre,
                                  std::uint32_t own,
                                  std::uint32_t limit);

  /// Whether new work may be sent to the endpoint now. The VM list is not
  /// considered.
  bool IsUsable(const EndpointState& state) const;

  /// Counts a request that is sent to the endpoint. OnDone() must follow.
  void OnSend(const std::string& endpoint);
  /// Counts the end of a request, whatever its result.
  void OnDone(const std::string& endpoint);
  /// Records that the endpoint answered a request; closes its circuit breaker.
  void OnSuccess(const std::string& endpoint);
  /// Records a failure of the endpoint, which may open its circuit breaker.
  void OnFailure(const std::string& endpoint);
  /// Records that the endpoint asked not to be sent new work for `pause`, of
  /// which at most a minute is honoured.
  void OnBackpressure(const std::string& endpoint, Duration pause);
  /// Records that the endpoint said that it drains, and reports it to peers.
  void OnLeaving(const std::string& endpoint);
  /// Reserves an endpoint for a request that has to run alone: neither this
  /// node nor its peers send other work to it.
  void Reserve(const std::string& endpoint, const std::string& request);
  /// Ends the reservations of a request. Returns whether there were any.
  bool EndReservations(const std::string& request);
  /// Announces the reservations that still hold to the peers again, before the
  /// earlier announcement expires.
  void RenewReservations();

  /// Applies a notice or use message of a peer. Returns true if endpoints may
  /// have become usable, so that waiting requests should be assigned.
  bool OnPeerMessage(const std::string& from, const PeerMessage& message);

  /// Reads the draining endpoints and the services from the VM list, if its
  /// refresh interval has passed.
  void RefreshVms();

  /// The service endpoints of a pool that do not drain.
  const std::vector<Vm>& ServicesOf(const std::string& pool);

  /// Sends the changes of this node's requests in flight to the peers, if the
  /// interval has passed.
  void BroadcastUse();

  /// Removes endpoints that were not used for ten minutes.
  void Prune();

  /// The state of all endpoints, as JSON.
  nlohmann::json Status() const;

 private:
  /// Broadcasts a condition of an endpoint that is valid for `valid`.
  void Announce(const std::string& endpoint,
                EndpointCondition condition,
                Duration valid);
  /// Whether this node keeps its reservation of an endpoint that the node
  /// `other` has reserved as well. Ends the reservation if not.
  bool KeepsReservation(EndpointState& state, const std::string& other) const;
  /// Sum of the peers' requests in flight, without outdated counts.
  std::uint32_t PeerUseOf(const EndpointState& state) const;

  const RoutingDependencies& deps_;
  std::map<std::string, EndpointState> states_;
  std::set<std::string> leaving_;  ///< Draining endpoints by the VM list.
  /// Service endpoints by pool.
  std::map<std::string, std::vector<Vm>> services_;
  TimePoint next_refresh_;
  std::map<std::string, std::uint32_t> shared_;  ///< Counts last sent to peers.
  TimePoint next_share_;
};

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_TABLE_H_
