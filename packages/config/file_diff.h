// Defines DiffFiles, which compares two versions of a configuration file for
// the history and for operators who review a change before they apply it.
#ifndef CONFIG_FILE_DIFF_H_
#define CONFIG_FILE_DIFF_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanagerloom {

/// How an item changed.
enum class ChangeKind { kAdded, kRemoved, kChanged };

/// One changed item of a file.
struct FileChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string section;  ///< Top-level key of the file, such as "models".
  std::string name;     ///< Item name; empty if the section has no named items.
  /// One "PATH: OLD -> NEW" for each field of a changed item that differs.
  /// PATH is a JSON path below the item.
  std::vector<std::string> details;

  /// The change as "+ SECTION/NAME" (added), "- SECTION/NAME" (removed) or
  /// "~ SECTION/NAME" (changed).
  std::string ToText() const;
};

/// Returns the changes from `before` to `after`, ordered by section and name.
/// Digests and salts are redacted to their first characters.
std::vector<FileChange> DiffFiles(nlohmann::json before, nlohmann::json after);

/// Summarizes the changes in one line, such as "models: 2 added (a, b);
/// callers: 1 removed (c)". It lists only the first names of each group, which
/// limits its length.
std::string SummarizeChanges(const std::vector<FileChange>& changes);

}  // namespace tanagerloom

#endif  // CONFIG_FILE_DIFF_H_
