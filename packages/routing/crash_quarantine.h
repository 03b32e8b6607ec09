// Defines CrashQuarantine, which counts over all nodes how often a request
// crashed the endpoint that ran it, and refuses it after a few crashes.
#ifndef ROUTING_CRASH_QUARANTINE_H_
#define ROUTING_CRASH_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "ports/peer_message.h"
#include "routing/refusal.h"
#include "routing/routing_dependencies.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// The crash count after one more crash. A crash that hit several requests says
/// little about each, so it cannot bring a count to the limit: only a request
/// that ran alone at its endpoint is known to be the cause.
std::uint32_t NextCrashCount(std::uint32_t count,
                             bool exclusive,
                             std::uint32_t limit);

/// Crash counts by request fingerprint, kept in `crashes/RANGE` and told to the
/// peers.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const RoutingDependencies& deps);

  /// Starts reading the counts that other nodes stored.
  void Start();

  /// Crashes counted for a fingerprint that have not expired.
  std::uint32_t CountOf(std::uint64_t fingerprint) const;

  /// The refusal of a quarantined request; empty if it may run.
  std::optional<Refusal> Check(std::uint64_t fingerprint) const;

  /// Counts a crash: peers are told at once, and the count is stored when the
  /// call returns, unless the object API fails for long.
  void OnCrash(std::uint64_t fingerprint,
               bool exclusive,
               const std::string& request,
               const std::string& endpoint);

  /// A suspect ran alone without a crash; its count is removed everywhere.
  void ClearSuspect(std::uint64_t fingerprint);

  void OnPeerMessage(const PeerMessage& message);

  nlohmann::json Status() const;

 private:
  struct Count {
    std::uint32_t crashes = 0;
    TimePoint expires;
  };

  void MergeCount(std::uint64_t fingerprint,
                  std::uint32_t crashes,
                  Duration valid);
  void AnnounceCount(std::uint64_t fingerprint);
  /// Changes a stored count; `event` is empty for its removal. Returns the
  /// stored number of crashes.
  std::uint32_t UpdateStoredCount(std::uint64_t fingerprint,
                                  bool exclusive,
                                  const std::string& event);
  void RefreshLoop();
  void Refresh();
  void MergeRange(const std::string& text);

  const RoutingDependencies& deps_;
  std::map<std::uint64_t, Count> counts_;
  std::map<std::string, std::uint64_t> versions_;  ///< Read so far, by key.
};

}  // namespace tanagerloom

#endif  // ROUTING_CRASH_QUARANTINE_H_
