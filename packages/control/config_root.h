// Defines ConfigRoot, the value of the object `config/root`. A conditional
// update of it is what accepts a configuration, so it names everything that is
// in force: the content of each file, and the history.
#ifndef CONTROL_CONFIG_ROOT_H_
#define CONTROL_CONFIG_ROOT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace tanagerloom {

inline constexpr std::string_view kConfigRootKey = "config/root";
inline constexpr std::string_view kConfigContentPrefix = "config/content/";

/// Entries kept in the root before they move to a history page. The root is
/// read by every node, so it holds few.
inline constexpr std::size_t kInlineHistoryEntries = 16;

/// One accepted change.
struct HistoryEntry {
  std::string id;                    ///< Of the apply call; unique.
  std::uint64_t version = 0;         ///< Of the configuration it made.
  std::string file;                  ///< The operator whose file changed.
  std::string by;                    ///< The operator whose token was used.
  std::string author;                ///< As stated by the client; may be empty.
  std::uint64_t at_ms = 0;           ///< Since the Unix epoch.
  std::string change;                ///< A summary of what changed.
  std::vector<std::string> content;  ///< Content hashes after the change.
  std::vector<std::string> previous;  ///< Content hashes before it.

  nlohmann::json ToJson() const;
};

/// One operator's file in force.
struct ConfigFileEntry {
  std::uint64_t version = 0;         ///< Configuration that last changed it.
  std::vector<std::string> content;  ///< Hashes of its parts, in order.
  std::string by;
  std::string author;
  std::uint64_t at_ms = 0;

  nlohmann::json ToJson() const;
};

/// The accepted configuration by reference.
struct ConfigRoot {
  std::uint64_t version = 0;  ///< 0 if no configuration was accepted.
  std::map<std::string, ConfigFileEntry, std::less<>> files;
  std::vector<HistoryEntry> history;  ///< Newest last.
  std::string history_page;           ///< Hash of the page before `history`.

  std::string ToText() const;
};

/// Read an entry; throw nlohmann::json::exception if the value is not one.
HistoryEntry HistoryEntryFromJson(const nlohmann::json& value);
ConfigFileEntry ConfigFileEntryFromJson(const nlohmann::json& value);

/// Reads a root; an error if the text is not one.
Result<ConfigRoot> ParseConfigRoot(std::string_view text);

/// A page of older history entries, linked to the page before it.
struct HistoryPage {
  std::vector<HistoryEntry> entries;  ///< Newest last.
  std::string previous;               ///< Hash of the older page, or empty.

  std::string ToText() const;
};

/// Reads a history page; an error if the text is not one.
Result<HistoryPage> ParseHistoryPage(std::string_view text);

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_ROOT_H_
