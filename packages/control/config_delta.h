// Defines ConfigDelta, the difference made by one accepted change. Peers send
// each other deltas because thousands of changes a day reach every node: whole
// configurations would take too much of a node's bandwidth.
#ifndef CONTROL_CONFIG_DELTA_H_
#define CONTROL_CONFIG_DELTA_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "control/config_root.h"

namespace tanagerloom {

/// Describes a new text as an old text whose middle is replaced.
struct TextPatch {
  std::size_t prefix_bytes = 0;  ///< Bytes kept at the start of the old text.
  std::size_t suffix_bytes = 0;  ///< Bytes kept at the end of the old text.
  std::string middle;            ///< New text between the two.
};

/// The shortest patch from `before` to `after` that splits no UTF-8 character.
TextPatch MakePatch(std::string_view before, std::string_view after);

/// Applies a patch; empty if `before` is too short for it.
std::optional<std::string> ApplyPatch(std::string_view before,
                                      const TextPatch& patch);

/// The difference between two successive configuration roots.
struct ConfigDelta {
  std::uint64_t base = 0;               ///< Version of the root it applies to.
  std::string root_sha256;              ///< SHA-256 of the new root's text.
  HistoryEntry change;                  ///< History entry of the change.
  std::optional<ConfigFileEntry> file;  ///< Empty if the file was removed.
  std::string history_page;  ///< Hash of the new root's history page.
  TextPatch text;            ///< From the old text of the file to the new one.

  nlohmann::json ToJson() const;
};

/// Parses a delta; kInvalid if the value is not one.
Result<ConfigDelta> ParseConfigDelta(const nlohmann::json& value);

/// The delta between two roots; empty if they differ by more than one change.
/// The texts are those of the changed file.
std::optional<ConfigDelta> MakeDelta(const ConfigRoot& from,
                                     const ConfigRoot& to,
                                     std::string_view text_before,
                                     std::string_view text_after);

/// Applies a delta and returns the new root; empty if the delta is based on
/// another version or the hash of the result does not match.
std::optional<ConfigRoot> ApplyDelta(const ConfigRoot& from,
                                     const ConfigDelta& delta);

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_DELTA_H_
