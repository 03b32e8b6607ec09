// Defines LoadFailures, which counts the failed loads of one key. The counts
// are kept in the placement record, so that all nodes refuse waiting requests
// with the same cause and a new coordinator continues the backoff.
#ifndef DECISION_LOAD_FAILURES_H_
#define DECISION_LOAD_FAILURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tanagerloom {

/// The failed loads of one key since its last successful load. Times are wall
/// time in milliseconds.
struct LoadFailures {
  /// The failed loads on one engine.
  struct OnEngine {
    std::uint32_t count = 0;    ///< Failed loads on the engine.
    std::uint64_t last_ms = 0;  ///< Time of the last failure.

    bool operator==(const OnEngine&) const = default;
  };

  std::map<std::string, OnEngine, std::less<>> engines;
  std::string cause;  ///< Cause of the last failure.

  /// Counts a failed load on an engine.
  void Add(const std::string& engine,
           std::string reason,
           std::uint64_t wall_ms);

  /// Returns the time before which the engine must not load the key again: 1 s
  /// after its first failure, doubling with each failure to 60 s; 0 if it had
  /// none.
  std::uint64_t EngineRetryAtMs(std::string_view engine) const;

  /// Returns the time before which no engine may load the key. It is 0 until
  /// there are 3 failures on 3 engines, or on all engines of a cell whose
  /// number of engines (`cell_engines`) is smaller; then it is 1 s after the
  /// last failure, doubling with each further failure to 60 s.
  std::uint64_t KeyRetryAtMs(std::size_t cell_engines) const;

  /// Returns the time of the last failure; 0 if there was none.
  std::uint64_t LastFailureMs() const;

  bool operator==(const LoadFailures&) const = default;
};

}  // namespace tanagerloom

#endif  // DECISION_LOAD_FAILURES_H_
