// Defines ClaimRange, the content of one object `claims/RANGE` in the object
// store: the claims of calls that must run at most once, and their outcomes.
#ifndef ROUTING_CLAIM_RANGE_H_
#define ROUTING_CLAIM_RANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerloom {

/// The state of a claimed call.
enum class ClaimState {
  kClaimed,  ///< Its node runs it, or failed while it ran.
  kDone,     ///< The outcome is stored.
  kUnknown,  ///< It may have run; the outcome is lost.
};

/// The stored mark that a call with an idempotency key has started, with the
/// outcome of the call once it is known.
struct ClaimRecord {
  std::string fingerprint;  ///< Hash of method, target and body.
  std::string request;      ///< Id of the request that took the claim.
  std::string node;         ///< "NODE/INCARNATION" that runs the call.
  ClaimState state = ClaimState::kClaimed;
  /// Wall-clock time in ms after which the claim is removed.
  std::int64_t expires_ms = 0;
  /// HTTP status of the outcome; set in state kDone, as are `content_type` and
  /// `body`.
  int status = 0;
  std::string content_type;  ///< Of the outcome; may be empty.
  std::string body;          ///< Of the outcome; any bytes.
  std::string message;       ///< Why the outcome is unknown, in state kUnknown.
};

/// A change of one claim. Changes are idempotent, so that a write whose result
/// is unknown can be retried.
struct ClaimChange {
  enum class Kind {
    kTake,        ///< Adds the record if there is no such claim.
    kSetOutcome,  ///< Replaces the record if the same request took the claim.
    kRelease,     ///< Removes the record if the same request took the claim.
  };

  Kind kind = Kind::kTake;
  std::string
      claim;  ///< "CLIENT/KEY": the client's name and its idempotency key.
  ClaimRecord record;
};

/// The claims whose hash digits start with the range's name.
struct ClaimRange {
  std::map<std::string, ClaimRecord> claims;
  /// Whether the claims were moved to the ranges with one more digit.
  bool split = false;

  /// Parses a stored range; empty if the text is malformed.
  static std::optional<ClaimRange> Parse(std::string_view text);
  /// The range as JSON text.
  std::string Serialize() const;

  /// Applies a change. Returns whether the range changed.
  bool Apply(const ClaimChange& change);

  /// Removes the claims that expired before `now_ms`. Returns whether there
  /// were any.
  bool Prune(std::int64_t now_ms);
};

/// The hash of a claim as 16 hexadecimal digits. A claim belongs to the ranges
/// that are named by a prefix of them.
std::string ClaimHashDigits(std::string_view claim);

}  // namespace tanagerloom

#endif  // ROUTING_CLAIM_RANGE_H_
