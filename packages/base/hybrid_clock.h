// Defines HybridClock, a hybrid logical clock. Its times order the events of
// all processes consistently with the messages between them, although the wall
// clocks of VMs differ.
#ifndef BASE_HYBRID_CLOCK_H_
#define BASE_HYBRID_CLOCK_H_

#include <compare>
#include <cstdint>
#include <functional>

namespace tanagerloom {

/// A time of the hybrid clock: wall microseconds and a tie-breaking counter.
struct HybridTime {
  std::uint64_t micros = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// Produces rising hybrid times and merges times received from peers.
class HybridClock {
 public:
  /// Reads the wall clock in microseconds.
  using WallClock = std::function<std::uint64_t()>;

  HybridClock();
  explicit HybridClock(WallClock wall) : wall_(std::move(wall)) {}

  /// The time of a local event or of a message being sent.
  HybridTime Now();

  /// Merges the time of a received message; later local times are after it.
  void Observe(HybridTime remote);

 private:
  WallClock wall_;
  HybridTime last_;
};

}  // namespace tanagerloom

#endif  // BASE_HYBRID_CLOCK_H_
