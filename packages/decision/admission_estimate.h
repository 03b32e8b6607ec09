// Defines the admission check for waiting requests: a request that is not
// expected to be served by its deadline is refused early, while its client can
// still send it elsewhere.
#ifndef DECISION_ADMISSION_ESTIMATE_H_
#define DECISION_ADMISSION_ESTIMATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace tanagerloom {

/// The state on which the admission of a waiting request depends.
struct AdmissionInput {
  using Duration = std::chrono::nanoseconds;

  std::size_t ahead = 0;      ///< Number of waiting requests served earlier.
  std::uint32_t slots = 0;    ///< Number of requests that may run at once.
  Duration service_time{0};   ///< Mean time of a request; 0 if unknown.
  Duration remaining{0};      ///< Time left until the deadline.
  bool load_failing = false;  ///< Loads of the model keep failing.
  /// Estimated time until a replica is loaded; empty if unknown.
  std::optional<Duration> ready_in;
};

/// Why a request may not wait.
struct AdmissionRefusal {
  std::string code;  ///< Error code of the response.
  /// Time after which a retry may succeed.
  std::chrono::nanoseconds retry_after;
};

/// Returns the estimated wait until a slot is free, or until a replica is
/// loaded if there are no slots; empty if unknown.
std::optional<std::chrono::nanoseconds> EstimateWait(
    const AdmissionInput& input);

/// Returns why the request must be refused; empty if it may wait. Without an
/// estimate it may wait, because a wrong early refusal is worse than a refusal
/// at the deadline.
std::optional<AdmissionRefusal> ReviewAdmission(const AdmissionInput& input);

}  // namespace tanagerloom

#endif  // DECISION_ADMISSION_ESTIMATE_H_
