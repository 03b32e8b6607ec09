// Defines the choice of an endpoint for a request: the less loaded of two
// random endpoints, preferably in the data centre of this node. An endpoint
// that has the request's prefix in its cache is preferred unless it is
// overloaded.
#ifndef DECISION_ENDPOINT_CHOICE_H_
#define DECISION_ENDPOINT_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>

namespace tanagerloom {

/// State of an endpoint that could serve a request.
struct EndpointCandidate {
  std::uint32_t own_in_flight = 0;  ///< Requests of this node in flight.
  /// In-flight requests that peers announced.
  std::uint32_t peers_in_flight = 0;
  /// In-flight requests in the endpoint's load report, which lags; 0 if the
  /// report is stale.
  std::uint32_t reported_in_flight = 0;
  /// Limit on own_in_flight.
  std::uint32_t max_own_in_flight = 1;
  /// Number of blocks of the request's prefix in the endpoint's cache.
  std::uint32_t prefix_blocks = 0;
  bool same_data_centre = false;  ///< In the data centre of this node.
  bool usable = true;  ///< Neither leaving, nor held back, nor excluded.
};

/// Returns the number of in-flight requests by which endpoints are compared.
/// The load report lags, but includes the requests of this node and its peers;
/// so the larger of reported and counted requests is used.
std::uint32_t EndpointLoad(const EndpointCandidate& candidate);

/// Whether the endpoint is usable and this node may send it one more request.
bool HasRoom(const EndpointCandidate& candidate);

/// Returns the index of the chosen endpoint among those for which HasRoom()
/// holds; empty if there is none. `random(n)` returns a random number below n.
std::optional<std::size_t> ChooseEndpoint(
    std::span<const EndpointCandidate> candidates,
    const std::function<std::size_t(std::size_t)>& random);

}  // namespace tanagerloom

#endif  // DECISION_ENDPOINT_CHOICE_H_
