// Defines ObjectStore, the interface to the platform's object store: versioned
// values, conditional updates and watches. All persistent state is kept there.
#ifndef PORTS_OBJECT_STORE_H_
#define PORTS_OBJECT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// A stored value and its version, which rises with every write.
struct StoredObject {
  std::string value;
  std::uint64_t version = 0;
};

/// The key and version of a stored object.
struct ObjectKey {
  std::string key;
  std::uint64_t version = 0;
};

/// The platform's object store. A write that fails with kUnknown or kTimeout
/// may have taken effect; one that fails with kConflict has not.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  /// Reads an object. Fails with kNotFound if it does not exist.
  virtual Result<StoredObject> Get(std::string_view key) = 0;

  /// Creates the object if `expected_version` is 0; otherwise replaces exactly
  /// that version. Returns the new version. Fails with kConflict if the object
  /// has another version.
  virtual Result<std::uint64_t> Put(std::string_view key,
                                    std::string_view value,
                                    std::uint64_t expected_version) = 0;

  /// Deletes the object if it has exactly that version. Fails with kConflict if
  /// it has another one.
  virtual Result<void> Delete(std::string_view key,
                              std::uint64_t expected_version) = 0;

  /// Lists the objects whose key starts with `prefix`.
  virtual Result<std::vector<ObjectKey>> List(std::string_view prefix) = 0;

  /// Waits until the object has a version above `after`, at most for `timeout`.
  /// Returns the object, or an empty optional after the timeout.
  virtual Result<std::optional<StoredObject>> Watch(std::string_view key,
                                                    std::uint64_t after,
                                                    Duration timeout) = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_OBJECT_STORE_H_
