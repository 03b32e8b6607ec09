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
  struct OnServer {
    std::uint32_t count = 0;
    std::uint64_t last_ms = 0;

    bool operator==(const OnServer&) const = default;
  };

  std::map<std::string, OnServer, std::less<>> servers;
  std::string cause;  ///< Of the last failure.

  /// Counts a failure.
  void Add(const std::string& server, std::string why, std::uint64_t wall_ms);

  /// Until when the server must not load the key again: 1 s after the first
  /// failure, doubling to 60 s.
  std::uint64_t ServerRetryMs(std::string_view server) const;

  /// Until when no server may load the key: 0 before 3 failures on 3 servers,
  /// or on all of a cell with fewer `cell_servers`, then 1 s after the last
  /// failure, doubling with each further one to 60 s.
  std::uint64_t KeyRetryMs(std::size_t cell_servers) const;

  /// When the last failure happened.
  std::uint64_t LastMs() const;

  bool operator==(const LoadFailures&) const = default;
};

}  // namespace tanagerloom

#endif  // DECISION_LOAD_FAILURES_H_
