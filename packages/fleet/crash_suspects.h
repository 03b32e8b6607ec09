// Defines CrashSuspects, which counts the endpoint crashes that followed the
// same kind of request, over all nodes. Requests that crash every endpoint they
// reach are refused instead of taking down one endpoint after another.
#ifndef FLEET_CRASH_SUSPECTS_H_
#define FLEET_CRASH_SUSPECTS_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "runtime/clock.h"

namespace tanagerloom {

/// A crash that followed a request. All nodes know it by the same id. They may
/// differ in its time.
struct SuspectCrash {
  std::uint64_t id = 0;
  TimePoint at{};
};

/// The crashes of one fingerprint since the last proof.
struct Suspect {
  std::uint64_t fingerprint = 0;
  std::uint32_t count = 0;  ///< Crashes that recent proofs do not outweigh.
  Duration valid{};         ///< Time until the crashes expire.
  std::vector<SuspectCrash> crashes;
};

/// Crashes by fingerprint: of whole requests, or of parts of them that other
/// requests share. Nodes exchange the crashes by id, so that those that several
/// nodes see at one moment add up, and a crash that is announced again counts
/// once. A fingerprint that reaches kCrashLimit is refused at every node.
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
  /// Maximum number of crashes kept for a fingerprint.
  static constexpr std::size_t kMaxCrashes = 32;

  /// Of crashes that are less than `min_interval` apart, one counts.
  explicit CrashSuspects(Duration min_interval = Duration(0))
      : min_interval_(min_interval) {}

  /// Counts a crash that followed a request with the fingerprint. Returns the
  /// count; 0 if recent proofs outweigh it.
  std::uint32_t OnCrash(std::uint64_t fingerprint,
                        std::uint64_t crash_id,
                        TimePoint now);

  /// A request with the fingerprint ran without a crash. Returns whether this
  /// reset a count that was announced before. Without room for the fingerprint,
  /// the proof is dropped.
  bool OnProof(std::uint64_t fingerprint, TimePoint now);

  /// Adds the crashes that another node knows of.
  void OnNotice(std::uint64_t fingerprint,
                std::span<const SuspectCrash> crashes,
                TimePoint now);

  /// Resets the count after a proof at another node.
  void OnReset(std::uint64_t fingerprint);

  /// Returns the number of crashes counted since the last proof.
  std::uint32_t CrashesOf(std::uint64_t fingerprint) const;

  /// Returns whether a crash was counted since the last proof.
  bool IsSuspected(std::uint64_t fingerprint) const;

  /// Returns the number of crashes that recent proofs do not outweigh.
  std::uint32_t CountOf(std::uint64_t fingerprint, TimePoint now) const;

  /// Returns whether requests with the fingerprint must be refused.
  bool IsQuarantined(std::uint64_t fingerprint, TimePoint now) const;

  /// Returns what is known of a fingerprint.
  Suspect Find(std::uint64_t fingerprint, TimePoint now) const;

  /// Returns the fingerprints that must be refused.
  std::vector<Suspect> Quarantined(TimePoint now) const;

 private:
  struct Entry {
    std::vector<SuspectCrash> crashes;  ///< Since the last proof.
    double proofs = 0;  ///< Weight of the proofs at `proven_at`.
    TimePoint proven_at{};
    bool announced = false;  ///< Other nodes may know the count.
    TimePoint expires_at{};
  };

  /// Returns the crashes that recent proofs do not outweigh.
  std::uint32_t EffectiveCrashes(const Entry& entry, TimePoint now) const;
  /// Returns the number of crashes that are far enough apart.
  std::uint32_t CountCrashes(const Entry& entry) const;
  static double ProofWeight(const Entry& entry, TimePoint now);
  Suspect MakeSuspect(std::uint64_t fingerprint,
                      const Entry& entry,
                      TimePoint now) const;
  /// Adds a crash, or corrects the time of a known one: a notice that was
  /// delayed lets it seem later than it was.
  static void AddCrash(Entry& entry, const SuspectCrash& crash);
  /// Returns the entry of a fingerprint. Adds it if there is room for it.
  Entry* FindOrAdd(std::uint64_t fingerprint, TimePoint now);
  /// As FindOrAdd, but removes another entry if there is no room.
  Entry& MakeRoomFor(std::uint64_t fingerprint, TimePoint now);

  Duration min_interval_;
  std::map<std::uint64_t, Entry> entries_;
  /// When expired entries are removed next, if there is no room.
  TimePoint next_prune_at_{};
};

}  // namespace tanagerloom

#endif  // FLEET_CRASH_SUSPECTS_H_
