// Defines SelectEndpoint(), which chooses the endpoint for one request by load,
// reliability, distance and shared prompt.
#ifndef FLEET_ENDPOINT_SELECTION_H_
#define FLEET_ENDPOINT_SELECTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerloom {

struct EndpointRecord;

/// One endpoint that can run a request.
struct SelectionCandidate {
  const EndpointRecord* record = nullptr;
  /// Requests of all nodes, by their latest counts.
  std::uint32_t in_flight = 0;
  /// Recent fraction of failed requests, from 0 to 1.
  double failure_rate = 0;
  bool same_data_centre = false;
  /// Prompt tokens that it has still to read, by the same counts.
  std::uint32_t prompt_tokens = 0;
  /// Requests that the counts of the nodes lack, by the endpoint's reports.
  double uncounted_in_flight = 0;
  /// Time that work takes there now, relative to the usual time.
  double slowness = 1;
  /// Whether this node is to leave it to other nodes for now.
  bool held_back = false;
  /// Whether it may be used in spite of `held_back` if there is no other.
  bool usable_alone = true;
};

/// The properties of a request that the selection uses.
struct SelectionRequest {
  std::string_view shared_prompt_key;  ///< Identifies the shared prompt parts.
  /// Size of the shared prompt parts in tokens.
  std::uint32_t shared_prompt_tokens = 0;
  std::uint64_t seed = 0;  ///< Random number, new for each selection.
};

/// Returns an endpoint for the request; null if there are no candidates. Takes
/// the endpoint of lower cost among two random ones (power of two choices);
/// failures, cold starts and distance add to the cost. The counts of other
/// nodes are some hundred milliseconds old, so that choosing the least loaded
/// endpoint would overload it until the next counts arrive. Load is counted in
/// work: requests, and prompt tokens to read. The work ahead, and that of the
/// request itself, takes longer on a slow endpoint. Requests that share a
/// prompt go to one of the endpoints that have it cached unless its extra load
/// costs more than processing the prompt again.
const SelectionCandidate* SelectEndpoint(
    std::span<const SelectionCandidate> candidates,
    const SelectionRequest& request);

/// Returns the endpoints that are expected to have the shared prompt `key`
/// cached, the most preferred one first: a few of the candidates, found by
/// rendezvous hashing. All nodes that see the same candidates find the same.
std::vector<const SelectionCandidate*> SharedPromptEndpoints(
    std::span<const SelectionCandidate> candidates,
    std::string_view key);

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_SELECTION_H_
