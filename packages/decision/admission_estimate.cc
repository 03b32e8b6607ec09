#include "decision/admission_estimate.h"

#include <algorithm>

namespace tanagerloom {

namespace {

using Duration = AdmissionInput::Duration;

// Service times vary around the mean, so a request is refused only when its
// estimated wait exceeds the remaining time by this factor.
constexpr double kRefusalMargin = 1.25;

// Loads that keep failing are retried with a backoff of at most a minute.
constexpr Duration kFailingRetryAfter = std::chrono::seconds(30);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::optional<Duration> EstimateWait(const AdmissionInput& input) {
  if (input.slots == 0) {
    return input.ready_in;
  }
  if (input.service_time.count() == 0) {
    return std::nullopt;
  }
  return Scale(input.service_time,
               static_cast<double>(input.ahead) / input.slots);
}

std::optional<AdmissionRefusal> ReviewAdmission(const AdmissionInput& input) {
  if (input.slots == 0 && input.load_failing) {
    return AdmissionRefusal{"load_failing", kFailingRetryAfter};
  }
  const auto wait = EstimateWait(input);
  if (!wait || Scale(input.remaining, kRefusalMargin) >= *wait) {
    return std::nullopt;
  }
  // A request with the same timeout can meet its deadline once the wait has
  // shrunk by the excess.
  return AdmissionRefusal{
      input.slots == 0 ? "not_loaded_in_time" : "overloaded",
      std::max(kMinRetryAfter, *wait - input.remaining)};
}

}  // namespace tanagerloom
