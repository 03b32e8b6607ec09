// Defines CrashQuarantine, which counts over all nodes how often a request
// crashed the endpoint that ran it, and refuses the request once the count
// reaches a limit.
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

/// The crash count of a request after one more crash. `exclusive` states that
/// the request ran alone at its endpoint. Otherwise any of several requests may
/// have caused the crash, so it cannot raise the count to the limit.
std::uint32_t NextCrashCount(std::uint32_t count,
                             bool exclusive,
                             std::uint32_t limit);

/// Crash counts by request fingerprint, stored in the objects `crashes/RANGE`
/// and announced to the peers.
class CrashQuarantine {
 public:
  explicit CrashQuarantine(const RoutingDependencies& deps);

  /// Starts the fiber that reads the counts that other nodes stored.
  void Start();

  /// The crash count of a fingerprint; 0 if it has expired.
  std::uint32_t CountOf(std::uint64_t fingerprint) const;

  /// The refusal of a request that is quarantined; empty if it may run.
  std::optional<Refusal> Check(std::uint64_t fingerprint) const;

  /// Counts a crash. The count is announced to the peers at once, and it is
  /// stored when the call returns, unless the object store is unavailable for
  /// some seconds. `request` and `endpoint` are logged.
  void OnCrash(std::uint64_t fingerprint,
               bool exclusive,
               const std::string& request,
               const std::string& endpoint);

  /// Removes a request's count at all nodes and from the store, after the
  /// request ran alone at an endpoint without a crash.
  void ClearSuspect(std::uint64_t fingerprint);

  /// Applies a CrashNotice of a peer; other messages are ignored.
  void OnPeerMessage(const PeerMessage& message);

  /// The number of suspected and of quarantined requests, as JSON.
  nlohmann::json Status() const;

 private:
  struct Count {
    std::uint32_t crashes = 0;
    TimePoint expires;
  };

  /// Raises a count to at least `crashes`, valid for at least `valid`.
  void MergeCount(std::uint64_t fingerprint,
                  std::uint32_t crashes,
                  Duration valid);
  /// Broadcasts a count to the peers; zero if it was removed.
  void AnnounceCount(std::uint64_t fingerprint);
  /// Adds the crash with id `event` to a stored count, or removes the count if
  /// `event` is empty. Returns the new stored count; 0 if it was removed or
  /// could not be stored.
  std::uint32_t UpdateStoredCount(std::uint64_t fingerprint,
                                  bool exclusive,
                                  const std::string& event);
  /// Body of the fiber that calls Refresh() periodically.
  void RefreshLoop();
  /// Reads the stored ranges that have changed.
  void Refresh();
  /// Merges the counts of a stored range into those of this node.
  void MergeRange(const std::string& text);

  const RoutingDependencies& deps_;
  std::map<std::uint64_t, Count> counts_;
  /// Last version read, by object key.
  std::map<std::string, std::uint64_t> versions_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CRASH_QUARANTINE_H_
