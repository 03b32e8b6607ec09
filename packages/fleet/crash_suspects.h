// Defines CrashSuspects, which counts how many endpoint crashes followed the
// same kind of request, over all nodes. Requests that crash every endpoint they
// reach are refused instead of taking down one endpoint after another.
#ifndef FLEET_CRASH_SUSPECTS_H_
#define FLEET_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "runtime/clock.h"

namespace tanagerloom {

/// The crash count of one fingerprint.
struct SuspectCount {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  Duration valid{};  ///< Time until the count expires.
};

/// Crash counts by fingerprint: of a whole request, or of a part of it that
/// other requests share. Nodes exchange the counts, so that a fingerprint which
/// reaches kCrashLimit at one node is refused at every node.
///
/// A run without a crash proves a fingerprint harmless: its count starts again
/// at zero, and recent proofs are set against later crashes. So requests that
/// run beside one that crashes their endpoint are not refused with it.
class CrashSuspects {
 public:
  /// Crashes after which a fingerprint is refused. Fewer could be a coincidence
  /// with an endpoint that crashed for another reason.
  static constexpr std::uint32_t kCrashLimit = 3;
  /// How long a count is valid after the last crash.
  static constexpr Duration kRetention = std::chrono::minutes(5);
  /// Time in which the weight of a proof halves.
  static constexpr Duration kProofHalfLife = std::chrono::seconds(5);
  /// How long a proof rules out counts of other nodes.
  static constexpr Duration kProofValidity = std::chrono::seconds(2);
  /// Maximum number of fingerprints kept, which bounds the memory used.
  static constexpr std::size_t kMaxFingerprints = 4096;

  /// Counts a crash that followed a request with the fingerprint, unless one
  /// was counted within `min_interval`. Returns the count that the caller
  /// announces to the other nodes; 0 if recent proofs outweigh it.
  std::uint32_t OnCrash(std::uint64_t fingerprint,
                        TimePoint now,
                        Duration min_interval = Duration(0));

  /// A request with the fingerprint ran without a crash. Returns whether this
  /// reset a count that was announced before. Without room for the fingerprint,
  /// the proof is dropped.
  bool OnProof(std::uint64_t fingerprint, TimePoint now);

  /// Merges the count of another node, which is valid for `valid`; the higher
  /// count wins. 0 resets the count.
  void OnNotice(std::uint64_t fingerprint,
                std::uint32_t crashes,
                Duration valid,
                TimePoint now);

  /// Returns the number of crashes counted since the last proof.
  std::uint32_t CrashesOf(std::uint64_t fingerprint) const;

  /// Returns whether a crash was counted since the last proof.
  bool IsSuspected(std::uint64_t fingerprint) const;

  /// Returns whether requests with the fingerprint must be refused.
  bool IsQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /// Returns the counts of the fingerprints that must be refused.
  std::vector<SuspectCount> Quarantined(TimePoint now) const;

 private:
  struct Entry {
    std::uint32_t crashes = 0;  ///< Since the last proof.
    TimePoint crashed_at{};
    double proofs = 0;  ///< Weight of the proofs at `proven_at`.
    TimePoint proven_at{};
    bool announced = false;  ///< Other nodes may know the count.
    TimePoint expires_at{};
  };

  /// Returns the crashes that recent proofs do not outweigh.
  static std::uint32_t EffectiveCrashes(const Entry& entry, TimePoint now);
  static double ProofWeight(const Entry& entry, TimePoint now);
  /// Returns the entry of a fingerprint. Adds it if there is room for it.
  Entry* FindOrAdd(std::uint64_t fingerprint, TimePoint now);
  /// As FindOrAdd, but removes another entry if there is no room.
  Entry& MakeRoomFor(std::uint64_t fingerprint, TimePoint now);

  std::map<std::uint64_t, Entry> entries_;
  /// When expired entries are removed next, if there is no room.
  TimePoint next_prune_at_{};
};

}  // namespace tanagerloom

#endif  // FLEET_CRASH_SUSPECTS_H_
