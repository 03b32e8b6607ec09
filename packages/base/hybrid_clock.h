// Defines HybridClock, a hybrid logical clock. Its timestamps order the events
// of all processes consistently with the messages between them, although the
// wall clocks of the VMs differ.
#ifndef BASE_HYBRID_CLOCK_H_
#define BASE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>

namespace tanagerloom {

/// A timestamp of the hybrid clock: microseconds since the Unix epoch and a
/// counter that orders timestamps of the same microsecond.
struct HybridTime {
  std::uint64_t micros = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// Produces strictly rising timestamps and merges those received from peers.
class HybridClock {
 public:
  /// Reads the wall clock, in microseconds since the Unix epoch.
  using WallClock = std::function<std::uint64_t()>;

  HybridClock();
  explicit HybridClock(WallClock wall) : wall_(std::move(wall)) {}

  /// Returns the timestamp of a local event or of a message about to be sent.
  /// It is greater than every timestamp returned or observed before.
  HybridTime Now();

  /// Merges the timestamp of a received message, so that all later local
  /// timestamps are greater.
  void Observe(HybridTime remote);

 private:
  WallClock wall_;
  HybridTime last_;
};

}  // namespace tanagerloom

#endif  // BASE_HYBRID_CLOCK_H_
