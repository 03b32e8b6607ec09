// Defines ContentCache, which reads and writes the content objects of the
// configuration. They are named by their SHA-256 and never change, so a copy is
// as good as the object and a repeated write is harmless.
#ifndef CONTROL_CONTENT_CACHE_H_
#define CONTROL_CONTENT_CACHE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "config/operator_file.h"
#include "ports/object_store.h"

namespace tanagerloom {

/// Splits a text so that each part fits into one object.
std::vector<std::string_view> SplitContent(std::string_view text);

/// Content objects by hash, and the files parsed from them.
class ContentCache {
 public:
  explicit ContentCache(ObjectStore& store) : store_(store) {}

  /// Writes the text's parts and returns their hashes.
  Result<std::vector<std::string>> Write(std::string_view text);

  /// The text made of these parts.
  Result<std::string> Read(const std::vector<std::string>& hashes);

  /// The parsed file made of these parts. A stored file was valid when it was
  /// accepted; if it is not now, that is an internal error.
  Result<std::shared_ptr<const OperatorFile>> ReadFile(
      const std::vector<std::string>& hashes);

  /// The text made of these parts if all of them are cached.
  std::optional<std::string> ReadCached(
      const std::vector<std::string>& hashes) const;

  /// Adds the parts of a text; they are found by their hashes.
  void AddText(std::string_view text);

  /// Adds a text received from a peer; ignored if its hash is another.
  void Add(const std::string& hash, std::string text);

  /// The cached text of a hash; null if it is not cached.
  const std::string* Find(const std::string& hash) const;

  /// Forgets everything but these hashes.
  void RetainOnly(const std::set<std::string>& hashes);

 private:
  Result<void> WritePart(const std::string& hash, std::string_view text);
  Result<std::string> ReadPart(const std::string& hash);

  ObjectStore& store_;
  std::map<std::string, std::string> texts_;
  std::map<std::vector<std::string>, std::shared_ptr<const OperatorFile>>
      files_;
};

}  // namespace tanagerloom

#endif  // CONTROL_CONTENT_CACHE_H_
