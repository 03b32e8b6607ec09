// Defines FakeObjectStore, an object store in memory that injects the faults of
// the real one: refusals, lost answers and delayed writes.
#ifndef TESTS_FAKES_FAKE_OBJECT_STORE_H_
#define TESTS_FAKES_FAKE_OBJECT_STORE_H_

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <functional>
#include <map>
#include <string>

#include "ports/object_store.h"

namespace tanagerloom {

/// The fault of one call.
enum class StoreFault {
  kNone,
  kRefused,     ///< No effect; the caller is told so.
  kAnswerLost,  ///< Takes effect; the caller is not told.
  kLate,        ///< Takes effect some time after the call failed.
};

/// Keeps objects in memory. Each call yields once, so that other fibers
/// interleave with it.
class FakeObjectStore final : public ObjectStore {
 public:
  explicit FakeObjectStore(Clock& clock) : clock_(clock) {}

  /// Returns the fault of the next call on a key.
  std::function<StoreFault(std::string_view key)> fault = [](std::string_view) {
    return StoreFault::kNone;
  };
  using Objects = std::map<std::string, StoredObject, std::less<>>;

  /// The content of the store at one time.
  struct Copy {
    Objects objects;
    std::uint64_t last_version = 0;
  };

  Copy MakeCopy() const { return {objects, last_version_}; }

  /// Goes back to a copy and starts a new era: versions are given out again.
  void Restore(const Copy& copy) {
    objects = copy.objects;
    last_version_ = copy.last_version;
    ++era;
  }

  Objects objects;
  std::uint32_t era = 0;
  std::size_t calls = 0;
  /// Time after which a late write takes effect.
  Duration write_delay = std::chrono::milliseconds(20);

  Result<StoredObject> Get(std::string_view key) override {
    if (BeginCall(key) != StoreFault::kNone) {
      return Unavailable();
    }
    const auto it = objects.find(key);
    if (it == objects.end()) {
      return MakeError(ErrorKind::kNotFound, std::string(key));
    }
    return it->second;
  }

  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected_version) override {
    switch (BeginCall(key)) {
      case StoreFault::kNone:
        return Write(key, value, expected_version);
      case StoreFault::kRefused:
        return Unavailable();
      case StoreFault::kAnswerLost:
        (void)Write(key, value, expected_version);
        break;
      case StoreFault::kLate:
        boost::fibers::fiber([this, key = std::string(key),
                              value = std::string(value), expected_version] {
          clock_.SleepFor(write_delay);
          (void)Write(key, value, expected_version);
        }).detach();
        break;
    }
    return MakeError(ErrorKind::kUnknown, "answer lost");
  }

  Result<void> Delete(std::string_view key, std::uint64_t) override {
    objects.erase(std::string(key));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  Result<std::vector<ObjectKey>> List(std::string_view) override {
    return std::vector<ObjectKey>();
  }

  Result<std::optional<StoredObject>> Watch(std::string_view key,
                                            std::uint64_t after,
                                            Duration timeout) override {
    const auto deadline = clock_.Now() + timeout;
    while (true) {
      if (BeginCall(key) != StoreFault::kNone) {
        return Unavailable();
      }
      const auto it = objects.find(key);
      if (it != objects.end() && it->second.version > after) {
        return std::optional(it->second);
      }
      if (clock_.Now() >= deadline) {
        return std::optional<StoredObject>();
      }
      clock_.SleepFor(std::chrono::milliseconds(100));
    }
  }

 private:
  // Counts a call, lets other fibers run and returns the fault of the call.
  StoreFault BeginCall(std::string_view key) {
    ++calls;
    boost::this_fiber::yield();
    return fault(key);
  }

  static Error Unavailable() {
    return MakeError(ErrorKind::kUnavailable, "503");
  }

  // Writes if the version is the expected one. Fails with kInvalid above 1 MB
  // and with kConflict for another version.
  Result<std::uint64_t> Write(std::string_view key,
                              std::string_view value,
                              std::uint64_t expected_version) {
    if (value.size() > 1000 * 1000) {
      return MakeError(ErrorKind::kInvalid, "value above 1 MB");
    }
    const auto it = objects.find(key);
    const auto version = it == objects.end() ? 0 : it->second.version;
    if (version != expected_version) {
      return MakeError(ErrorKind::kConflict, "412");
    }
    objects[std::string(key)] = {std::string(value), ++last_version_};
    return last_version_;
  }

  Clock& clock_;
  std::uint64_t last_version_ = 0;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_FAKE_OBJECT_STORE_H_
