// Defines ConfigRoot, the value of the object `config/root`. A configuration is
// accepted by a conditional update of this object, so it refers to everything
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

/// Key of the root object.
inline constexpr std::string_view kConfigRootKey = "config/root";
/// Key prefix of the content objects; their SHA-256 follows.
inline constexpr std::string_view kConfigContentPrefix = "config/content/";

/// Limit on the history entries in the root, which then move to a history page.
/// It is low because every node reads the root.
inline constexpr std::size_t kInlineHistoryEntries = 16;

/// One accepted change.
struct HistoryEntry {
  std::string id;                    ///< Unique ID of the apply call.
  std::uint64_t version = 0;         ///< Configuration version it created.
  std::string file;                  ///< Operator whose file changed.
  std::string by;                    ///< Operator whose token was used.
  std::string author;                ///< As stated by the client; may be empty.
  std::uint64_t at_ms = 0;           ///< Milliseconds since the Unix epoch.
  std::string change;                ///< Summary of the change.
  std::vector<std::string> content;  ///< Content hashes after the change.
  std::vector<std::string> previous;  ///< Content hashes before the change.

  nlohmann::json ToJson() const;
};

/// An operator's file in force.
struct ConfigFileEntry {
  std::uint64_t version = 0;         ///< Configuration that last changed it.
  std::vector<std::string> content;  ///< Hashes of its parts, in order.
  std::string by;                    ///< Operator whose token was used.
  std::string author;                ///< As stated by the client; may be empty.
  std::uint64_t at_ms = 0;           ///< Milliseconds since the Unix epoch.

  nlohmann::json ToJson() const;
};

/// The accepted configuration; files and older history are stored by hash.
struct ConfigRoot {
  std::uint64_t version = 0;  ///< 0 if no configuration is accepted.
  std::map<std::string, ConfigFileEntry, std::less<>> files;
  std::vector<HistoryEntry> history;  ///< Newest last.
  std::string history_page;           ///< Hash of the newest history page.

  std::string ToText() const;
};

/// Parse an entry; throw nlohmann::json::exception if the value is not one.
HistoryEntry HistoryEntryFromJson(const nlohmann::json& value);
ConfigFileEntry ConfigFileEntryFromJson(const nlohmann::json& value);

/// Parses a root; kInternal if the text is not one.
Result<ConfigRoot> ParseConfigRoot(std::string_view text);

/// A content object with older history entries and the hash of the next older
/// page.
struct HistoryPage {
  std::vector<HistoryEntry> entries;  ///< Newest last.
  std::string previous;  ///< Hash of the next older page, or empty.

  std::string ToText() const;
};

/// Parses a history page; kInternal if the text is not one.
Result<HistoryPage> ParseHistoryPage(std::string_view text);

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_ROOT_H_
