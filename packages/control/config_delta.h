// Defines ConfigDelta, the difference that one accepted change makes. It is
// what peers send each other: the whole configuration would take too much of
// the bandwidth of a node when thousands of changes a day reach every node.
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

/// A text made from another one by replacing its middle.
struct TextPatch {
  std::size_t prefix_bytes = 0;  ///< Kept at the start.
  std::size_t suffix_bytes = 0;  ///< Kept at the end.
  std::string middle;
};

/// The shortest patch from `before` to `after`.
TextPatch MakePatch(std::string_view before, std::string_view after);

/// Applies a patch; empty if it does not fit the text.
std::optional<std::string> ApplyPatch(std::string_view before,
                                      const TextPatch& patch);

/// What changes from one root to the next.
struct ConfigDelta {
  std::uint64_t base = 0;   ///< Version of the root that it applies to.
  std::string root_sha256;  ///< Of the text of the new root.
  HistoryEntry change;
  std::optional<ConfigFileEntry> file;  ///< Empty if the file was taken out.
  std::string history_page;
  TextPatch text;  ///< From the file's text to the new one.

  nlohmann::json ToJson() const;
};

/// Reads a delta; an error if the value is not one.
Result<ConfigDelta> ParseConfigDelta(const nlohmann::json& value);

/// The delta between two roots; empty if they are more than one change apart.
std::optional<ConfigDelta> MakeDelta(const ConfigRoot& from,
                                     const ConfigRoot& to,
                                     std::string_view text_before,
                                     std::string_view text_after);

/// The new root; empty if the delta does not fit.
std::optional<ConfigRoot> ApplyDelta(const ConfigRoot& from,
                                     const ConfigDelta& delta);

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_DELTA_H_
