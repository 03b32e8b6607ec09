// Defines RequestProfile, the properties of a request that matter for
// scheduling besides its route.
#ifndef FLEET_REQUEST_PROFILE_H_
#define FLEET_REQUEST_PROFILE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet/model_ref.h"

namespace tanagerloom {

/// One part of a prompt, which other requests may share.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Properties of a request, as its headers state them.
struct RequestProfile {
  std::string attempt_id;  ///< Id that the client gave this request.
  /// Time that the client still waits.
  std::optional<std::chrono::milliseconds> time_left;
  ModelRef model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  bool states_token_counts = false;  ///< Whether the two counts are stated.
  std::vector<PromptPart> prompt;    ///< All parts but the last may be shared.
  /// SHA-256 of the client's API key, in hexadecimal; empty without a key. The
  /// key itself is not kept, so that it cannot reach a log.
  std::string key_digest;

  /// Returns the parts that other requests may share.
  std::span<const PromptPart> SharedPromptParts() const {
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
  }

  /// Returns the number of tokens of the shared parts.
  std::uint32_t SharedPromptTokens() const {
    std::uint32_t n = 0;
    for (const auto& it : SharedPromptParts()) {
      n += it.tokens;
    }
    return n;
  }

  /// Returns the number of tokens that no other request has in common.
  std::uint32_t UnsharedPromptTokens() const {
    return prompt_tokens - std::min(prompt_tokens, SharedPromptTokens());
  }

  /// Returns a key that identifies the model and the shared parts, to choose an
  /// endpoint that has them cached.
  std::string SharedPromptKey() const {
    std::string key = model.ToString();
    for (const auto& it : SharedPromptParts()) {
      key += '\n';
      key += it.id;
    }
    return key;
  }
};

}  // namespace tanagerloom

#endif  // FLEET_REQUEST_PROFILE_H_
