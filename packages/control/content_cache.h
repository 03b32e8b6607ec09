// Defines ContentCache, which reads, writes and caches the content objects of
// the configuration. They are named by their SHA-256 and never change, so a
// cached object is never outdated and a repeated write has no further effect.
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

/// Splits a text into parts that each fit into one object.
std::vector<std::string_view> SplitContent(std::string_view text);

/// Caches content objects by hash, and the files parsed from them.
class ContentCache {
 public:
  explicit ContentCache(ObjectStore& store) : store_(store) {}

  /// Writes the parts of a text and returns their hashes; kUnavailable if a
  /// part cannot be written.
  Result<std::vector<std::string>> Write(std::string_view text);

  /// Reads the text that consists of these parts.
  Result<std::string> Read(const std::vector<std::string>& hashes);

  /// Reads and parses the file that consists of these parts. A stored file was
  /// valid when it was accepted, so an invalid one is an error of kind
  /// kInternal.
  Result<std::shared_ptr<const OperatorFile>> ReadFile(
      const std::vector<std::string>& hashes);

  /// The text that consists of these parts; empty unless all are cached.
  std::optional<std::string> ReadCached(
      const std::vector<std::string>& hashes) const;

  /// Adds the parts of a text to the cache.
  void AddText(std::string_view text);

  /// Adds a part received from a peer; ignored if it does not match its hash.
  void Add(const std::string& hash, std::string text);

  /// The cached part with a hash; null if it is not cached.
  const std::string* Find(const std::string& hash) const;

  /// Removes everything but the parts with these hashes from the cache.
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
