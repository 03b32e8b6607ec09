// Defines the admission of requests by current estimates: a request that cannot
// be served by its deadline is refused early, while the caller can still go
// elsewhere.
#ifndef DECISION_ADMISSION_ESTIMATE_H_
#define DECISION_ADMISSION_ESTIMATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace tanagerloom {

/// What is known when a request asks to wait.
struct AdmissionInput {
  using Duration = std::chrono::nanoseconds;

  std::size_t ahead = 0;     ///< Waiting requests served before this one.
  std::uint32_t slots = 0;   ///< Requests that may run at the same time.
  Duration service_time{0};  ///< Mean time in a slot; 0 if unknown.
  Duration remaining{0};     ///< Until the deadline.
  bool load_failing = false;
  std::optional<Duration> ready_in;  ///< Until a replica is loaded.
};

/// Why waiting is of no use.
struct AdmissionRefusal {
  std::string code;
  std::chrono::nanoseconds retry_after;  ///< When a new try may succeed.
};

/// The estimated wait until a slot is free; empty if nothing is known.
std::optional<std::chrono::nanoseconds> EstimateWait(
    const AdmissionInput& input);

/// Decides whether a request may go on waiting; empty if it may. Without an
/// estimate it may: a wrong early refusal is worse than one at the deadline.
std::optional<AdmissionRefusal> ReviewAdmission(const AdmissionInput& input);

}  // namespace tanagerloom

#endif  // DECISION_ADMISSION_ESTIMATE_H_
