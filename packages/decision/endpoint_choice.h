// Defines the choice of an endpoint for a request: two random choices by load,
// the own data centre first, and affinity to cached prefixes that is given up
// when the preferred endpoint is overloaded.
#ifndef DECISION_ENDPOINT_CHOICE_H_
#define DECISION_ENDPOINT_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace tanagerloom {

/// What is known about an endpoint that could take a request.
struct EndpointCandidate {
  std::uint32_t own_in_flight = 0;    ///< This node's requests in progress.
  std::uint32_t peers_in_flight = 0;  ///< Requests in progress as peers told.
  std::uint32_t reported_in_flight =
      0;  ///< From the lagging load report; 0 if stale.
  std::uint32_t max_own_in_flight =
      1;  ///< Requests this node may have in progress.
  std::uint32_t prefix_blocks = 0;  ///< Cached blocks of the request's prefix.
  bool same_data_centre = false;
  bool usable = true;  ///< Not leaving, not held back, not excluded.
};

/// The load by which endpoints are compared. A load report lags and includes
/// this node's requests, so the larger of the two views counts.
std::uint32_t EndpointLoad(const EndpointCandidate& candidate);

/// Whether this node may send one more request to the endpoint now.
bool HasRoom(const EndpointCandidate& candidate);

/// Chooses an endpoint that is usable and has room; empty if none is.
/// `random(n)` returns a number below n.
std::optional<std::size_t> ChooseEndpoint(
    std::span<const EndpointCandidate> candidates,
    const std::function<std::size_t(std::size_t)>& random);

}  // namespace tanagerloom

#endif  // DECISION_ENDPOINT_CHOICE_H_
