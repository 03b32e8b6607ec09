// Defines LoadFailures, the failed loads of one key. They are kept in the
// placement record, so that every node refuses waiting requests with the same
// cause and a new coordinator does not start over.
#ifndef DECISION_LOAD_FAILURES_H_
#define DECISION_LOAD_FAILURES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Failures of loading one key, in wall milliseconds, since its last success.
struct LoadFailures {
  struct OnEngine {
    std::uint32_t count = 0;
    std::uint64_t last_ms = 0;

    bool operator==(const OnEngine&) const = default;
  };

  std::map<std::string, OnEngine, std::less<>> engines;
  std::string cause;  ///< Of the last failure.

  /// Counts a failure.
  void Add(const std::string& engine,
           std::string reason,
           std::uint64_t wall_ms);

  /// Until when the server must not load the key again: 1 s after the first
  /// failure, doubling to 60 s.
  std::uint64_t EngineRetryAtMs(std::string_view engine) const;

  /// Until when no server may load the key: 0 before 3 failures on 3 servers,
  /// or on all of a cell with fewer `cell_engines`, then 1 s after the last
  /// failure, doubling with each further one to 60 s.
  std::uint64_t KeyRetryAtMs(std::size_t cell_engines) const;

  /// When the last failure happened.
  std::uint64_t LastFailureMs() const;

  bool operator==(const LoadFailures&) const = default;
};

}  // namespace tanagerloom

#endif  // DECISION_LOAD_FAILURES_H_
