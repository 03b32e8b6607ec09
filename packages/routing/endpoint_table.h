// Defines EndpointTable: what this node knows about the endpoints it sends
// requests to. Own observations, load reports and peers' notices meet here.
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

/// What is known about one endpoint.
struct EndpointState {
  struct PeerUse {
    std::uint32_t in_flight = 0;
    TimePoint received_at;
  };

  Address address;
  bool is_engine = false;
  std::uint32_t own_in_flight = 0;  ///< This node's requests in progress.
  std::map<std::string, PeerUse> peer_use;
  std::uint32_t reported_load = 0;
  TimePoint reported_at;
  EndpointBreaker breaker;
  TimePoint backpressure_until;  ///< Backpressure of the endpoint.
  TimePoint leaving_until;       ///< From notices; the VM list is read apart.
  std::string reserved_by;       ///< Request that has to run alone.
  TimePoint reserved_at;
  TimePoint exclusive_until;  ///< A peer runs a request alone there.
  std::unordered_set<std::uint64_t> cached_prefixes;
  std::uint64_t cache_sequence = 0;
  bool reading_reports = false;  ///< Its reports are being read.
  TimePoint used_at;
};

/// The endpoints that this node has sent requests to or heard about.
class EndpointTable {
 public:
  explicit EndpointTable(const RoutingDependencies& deps);

  EndpointState& Get(const std::string& endpoint);
  std::map<std::string, EndpointState>& states() { return states_; }

  /// The candidate for a choice. `own` are this node's requests that count
  /// against `limit`.
  EndpointCandidate MakeCandidate(const std::string& endpoint,
                                  const std::string& data_centre,
                                  std::uint32_t own,
                                  std::uint32_t limit);

  /// Whether new work may be sent to the endpoint now.
  bool IsUsable(const EndpointState& state) const;

  void OnSend(const std::string& endpoint);
  void OnDone(const std::string& endpoint);
  void OnSuccess(const std::string& endpoint);
  void OnFailure(const std::string& endpoint);
  /// The endpoint asked to be left alone for `pause`.
  void OnBackpressure(const std::string& endpoint, Duration pause);
  void OnLeaving(const std::string& endpoint);
  /// Keeps an endpoint free of other work for a request that has to run alone.
  void Reserve(const std::string& endpoint, const std::string& request);
  /// Ends the reservations of a request; returns whether there were any.
  bool EndReservations(const std::string& request);
  /// Tells peers again about reservations that last.
  void RenewReservations();

  /// Takes a notice or use message of a peer. True if it may free requests.
  bool OnPeerMessage(const std::string& from, const PeerMessage& message);

  /// Reads the VM list again if it is due: leaving endpoints and services.
  void RefreshVms();

  /// The endpoints of the services of a pool that are not leaving.
  const std::vector<Vm>& ServicesOf(const std::string& pool);

  /// Sends this node's use of endpoints to the peers if it changed.
  void BroadcastUse();

  /// Forgets endpoints that were not used for long.
  void Prune();

  nlohmann::json Status() const;

 private:
  void Announce(const std::string& endpoint,
                EndpointCondition condition,
                Duration valid);
  /// Whether this node keeps its reservation against that of another node.
  bool KeepsReservation(EndpointState& state, const std::string& other) const;
  std::uint32_t PeerUseOf(const EndpointState& state) const;

  const RoutingDependencies& deps_;
  std::map<std::string, EndpointState> states_;
  std::set<std::string> leaving_;                    ///< By the VM list.
  std::map<std::string, std::vector<Vm>> services_;  ///< By pool.
  TimePoint next_refresh_;
  std::map<std::string, std::uint32_t> shared_;
  TimePoint next_share_;
};

}  // namespace tanagerloom

#endif  // ROUTING_ENDPOINT_TABLE_H_
