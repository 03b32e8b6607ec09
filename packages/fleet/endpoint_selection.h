// Defines the choice of the endpoint for one request.
#ifndef FLEET_ENDPOINT_SELECTION_H_
#define FLEET_ENDPOINT_SELECTION_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace tanagerloom {

struct EndpointRecord;

/// One endpoint that can run a request.
struct EndpointCandidate {
  const EndpointRecord* record = nullptr;
  std::uint32_t in_flight = 0;  ///< Of all nodes, as far as known.
  double failure_rate = 0;      ///< Recent, from 0 to 1.
  bool same_data_centre = false;
};

/// What the choice knows of the request.
struct SelectionRequest {
  std::string_view shared_prompt_key;      ///< Names the shared prompt parts.
  std::uint32_t shared_prompt_tokens = 0;  ///< Their size.
  std::uint64_t seed = 0;  ///< Random, different for each choice.
};

/// An endpoint for the request; null if there is none. Of two endpoints taken
/// at random the less loaded one is chosen, where less reliable and more
/// distant ones stand back. Answers many nodes that choose by counts which are
/// some hundred milliseconds old: if all took the least loaded endpoint, it
/// would be overrun until the next counts. Requests that share a prompt stay
/// together while the endpoint that keeps it is not busier than reading the
/// prompt again would cost.
const EndpointCandidate* SelectEndpoint(
    std::span<const EndpointCandidate> candidates,
    const SelectionRequest& request);

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_SELECTION_H_
