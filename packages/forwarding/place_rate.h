// Defines PlaceRate, which observes how often a place frees for the requests
// that wait for one target.
#ifndef FORWARDING_PLACE_RATE_H_
#define FORWARDING_PLACE_RATE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

#include "runtime/clock.h"

namespace tanagerloom {

/// Counts places while requests wait, in windows. The window with the most
/// places counts, so that a short stall makes no request look hopeless.
class PlaceRate {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(1);
  /// Number of full windows that are kept.
  static constexpr std::size_t kWindows = 3;
  /// A window with fewer places says too little.
  static constexpr std::size_t kMinPlaces = 4;

  /// Begins to observe if it does not yet: requests wait from now on.
  void OnWaiting(TimePoint now) {
    if (!window_start_) {
      window_start_ = now;
    }
    Advance(now);
  }

  /// A waiting request took a place.
  void OnPlace(TimePoint now) {
    OnWaiting(now);
    ++places_;
  }

  /// Returns whether requests wait for places.
  bool is_short() const { return window_start_.has_value(); }

  /// Forgets everything: no request waits, or there are more endpoints now.
  void Reset() { *this = PlaceRate(); }

  /// Returns the least mean time between places over a full window; nothing if
  /// too few were observed.
  std::optional<Duration> Interval() const {
    std::size_t most = places_;
    for (const auto n : full_windows_) {
      most = std::max(most, n);
    }
    if (full_windows_.empty() || most < kMinPlaces) {
      return std::nullopt;
    }
    return kWindow / most;
  }

 private:
  void Advance(TimePoint now) {
    while (now - *window_start_ >= kWindow) {
      if (now - *window_start_ >= kWindow * (kWindows + 1)) {
        // No request changed the list for long: the counts are outdated.
        full_windows_.clear();
        window_start_ = now;
        places_ = 0;
        return;
      }
      full_windows_.push_back(places_);
      if (full_windows_.size() > kWindows) {
        full_windows_.pop_front();
      }
      places_ = 0;
      *window_start_ += kWindow;
    }
  }

  std::optional<TimePoint> window_start_;
  std::size_t places_ = 0;  ///< In the current window.
  std::deque<std::size_t> full_windows_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_PLACE_RATE_H_
