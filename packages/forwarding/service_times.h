// Defines ServiceTimes, which estimates how long endpoints take to answer the
// requests of a route.
#ifndef FORWARDING_SERVICE_TIMES_H_
#define FORWARDING_SERVICE_TIMES_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

/// Estimates, for each route, the time within which endpoints answer nine in
/// ten of its requests. A node that stops refuses a request that would likely
/// be cut.
class ServiceTimes {
 public:
  /// An endpoint has answered a request of `route` as a whole, `time` after it
  /// was sent.
  void Observe(const std::string& route, Duration time) {
    const auto [it, is_first] = times_.try_emplace(route, time);
    if (!is_first) {
      const double weight = time > it->second ? kSlowerWeight : kFasterWeight;
      it->second +=
          std::chrono::duration_cast<Duration>((time - it->second) * weight);
    }
  }

  /// Returns the estimate; 0 before the first observation.
  Duration Expected(std::string_view route) const {
    const auto it = times_.find(route);
    return it == times_.end() ? Duration(0) : it->second;
  }

 private:
  /// Weights of an observation above and below the estimate. Their ratio makes
  /// the estimate settle where one in ten observations is slower.
  static constexpr double kSlowerWeight = 0.18;
  static constexpr double kFasterWeight = 0.02;

  std::map<std::string, Duration, std::less<>> times_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_SERVICE_TIMES_H_
