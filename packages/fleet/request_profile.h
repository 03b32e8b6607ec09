// Defines RequestProfile, what a request says of itself besides its route.
#ifndef FLEET_REQUEST_PROFILE_H_
#define FLEET_REQUEST_PROFILE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/model_ref.h"

namespace tanagerloom {

/// One part of a prompt; requests share parts.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// What a request says of itself.
struct RequestProfile {
  std::string attempt_id;  ///< Id of this attempt of the client.
  std::optional<std::chrono::milliseconds> time_left;  ///< Of the client.
  ModelRef model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<PromptPart> prompt;  ///< The last part is the request's own.

  /// Tokens of the parts that other requests may share.
  std::uint32_t SharedPromptTokens() const {
    std::uint32_t n = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
      n += prompt[i].tokens;
    }
    return n;
  }

  /// Names the shared parts, for the choice of an endpoint that keeps them.
  std::string SharedPromptKey() const {
    std::string key = model.ToString();
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
      key += '\n';
      key += prompt[i].id;
    }
    return key;
  }
};

}  // namespace tanagerloom

#endif  // FLEET_REQUEST_PROFILE_H_
