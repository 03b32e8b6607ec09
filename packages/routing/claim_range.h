// Defines ClaimRange, the content of one object `claims/RANGE`: the claims of
// calls that may not be repeated, and their outcomes.
#ifndef ROUTING_CLAIM_RANGE_H_
#define ROUTING_CLAIM_RANGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerloom {

/// What is known about a claimed call.
enum class ClaimState {
  kClaimed,  ///< Its node runs it, or died while it did.
  kDone,     ///< The outcome is stored.
  kUnknown,  ///< It may have run; the outcome will never be known.
};

/// One claim.
struct ClaimRecord {
  std::string fingerprint;  ///< Of method, target and body.
  std::string request;      ///< Id of the request that owns the claim.
  std::string node;         ///< "NODE/INCARNATION" that runs it.
  ClaimState state = ClaimState::kClaimed;
  std::int64_t expires_ms = 0;  ///< Wall clock; removed after this time.
  int status = 0;               ///< Of the outcome, as the fields below.
  std::string content_type;
  std::string body;
  std::string message;  ///< Why the outcome is unknown.
};

/// A change of one claim. Each has no second effect when it is applied again,
/// so that a write whose answer was lost is simply repeated.
struct ClaimChange {
  enum class Kind {
    kTake,        ///< Adds the record if the claim is free.
    kSetOutcome,  ///< Replaces the record of the same request.
    kRelease,     ///< Removes the record of the same request.
  };

  Kind kind = Kind::kTake;
  std::string claim;  ///< "CALLER/KEY".
  ClaimRecord record;
};

/// The claims of one range.
struct ClaimRange {
  std::map<std::string, ClaimRecord> claims;
  bool split = false;  ///< The claims moved to the ranges with one more digit.

  /// Empty if the text is no range.
  static std::optional<ClaimRange> Parse(std::string_view text);
  std::string Serialize() const;

  /// Applies a change; returns whether something changed.
  bool Apply(const ClaimChange& change);

  /// Removes expired claims; returns whether there were any.
  bool Prune(std::int64_t now_ms);
};

/// The digits by which ranges are named: 16 hexadecimal ones.
std::string ClaimHashDigits(std::string_view claim);

}  // namespace tanagerloom

#endif  // ROUTING_CLAIM_RANGE_H_
