// Defines EndpointStatements, which applies what endpoints say of themselves in
// their responses to this node's view, and tells the other nodes.
#ifndef FORWARDING_ENDPOINT_STATEMENTS_H_
#define FORWARDING_ENDPOINT_STATEMENTS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;
class FleetView;
class PeerNetwork;
struct EndpointNotice;
struct ResponseTraits;

/// One start of an endpoint.
struct EndpointInstance {
  std::string id;
  std::uint64_t boot = 0;
};

/// Applies statements from the moment at which the head of a response is read.
/// A statement holds for the instance that made it.
class EndpointStatements {
 public:
  EndpointStatements(FleetView& view,
                     PeerNetwork& peers,
                     const Clock& clock,
                     EventLog& log)
      : view_(view), peers_(peers), clock_(clock), log_(log) {}

  /// Applies the statements of a response of `endpoint` to the request with id
  /// `request`. Logs each that changes what this node assumes.
  void OnResponse(const EndpointInstance& endpoint,
                  const ResponseTraits& traits,
                  const std::string& request);

  /// An endpoint says that it leaves, in its response to the request with id
  /// `request`, or in one of an engine to this node itself (empty).
  void OnLeaving(const EndpointInstance& endpoint, const std::string& request);

  /// Tells peers that have started, or become reachable again, which endpoints
  /// said to this node that they leave. Call it at intervals.
  void TellReturnedPeers();

  /// A peer learnt from an endpoint that it leaves.
  void OnNotice(const EndpointNotice& notice);

 private:
  /// An endpoint that said to this node that it leaves.
  struct HeardLeaving {
    std::uint64_t boot = 0;
    TimePoint valid_until{};
    std::set<std::string> told;  ///< Processes of peers that know it.
  };

  /// The processes of reachable peers, "NODE/INCARNATION".
  std::set<std::string> ReachablePeers() const;
  /// Logs that an endpoint leaves. `request` is empty if a peer learnt so.
  void RecordLeaving(const EndpointInstance& endpoint,
                     const std::string& request);

  FleetView& view_;
  PeerNetwork& peers_;
  const Clock& clock_;
  EventLog& log_;
  std::map<std::string, HeardLeaving> heard_leaving_;  ///< By id.
};

}  // namespace tanagerloom

#endif  // FORWARDING_ENDPOINT_STATEMENTS_H_
