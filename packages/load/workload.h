// Defines WorkloadSpec and PlanArrivals, which plans the arrivals of a load
// run. The same description and seed give the same arrivals, so that policies
// are compared on equal work.
#ifndef LOAD_WORKLOAD_H_
#define LOAD_WORKLOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace tanagerloom {

/// Describes one stream of traffic: its targets, arrivals and requests.
struct TrafficSpec {
  std::string name;        ///< Shown in the report.
  std::string precedence;  ///< Class of the requests; empty sends none.
  std::string client_key;
  std::vector<std::string> models;  ///< Empty for a service.
  std::string service;              ///< Empty for models.
  std::string service_path;         ///< Path below that of the service.
  /// Whether the service may run a request more than once. If not, each request
  /// has an idempotency key.
  bool retryable = true;
  bool stream = true;           ///< Requests an event stream from a model.
  double requests_per_s = 1.0;  ///< Mean arrival rate.
  double start_s = 0.0;         ///< First arrivals, since the start of the run.
  double end_s = 0.0;           ///< End of arrivals, since the run's start.
  /// Exponent of the Zipf distribution over the models; 0 is uniform.
  double zipf_exponent = 0.0;
  std::uint32_t prompt_bytes = 200;
  /// Length of the start of the prompt that all requests of a model share.
  std::uint32_t shared_prefix_bytes = 0;
  std::uint32_t max_tokens = 16;
  std::chrono::milliseconds deadline{30000};
};

/// Describes the workload of a load run.
struct WorkloadSpec {
  std::string name;
  std::uint64_t seed = 1;
  std::vector<TrafficSpec> traffic;
};

/// A request and the time at which it is sent.
struct PlannedRequest {
  std::chrono::nanoseconds send_offset{0};  ///< Since the start of the run.
  std::size_t traffic_index = 0;  ///< Index into WorkloadSpec::traffic.
  std::string target;             ///< Path of the request.
  std::string body;
  std::string idempotency_key;  ///< Empty for none.
};

/// Parses a workload from JSON with comments. Fails with kInvalid if a required
/// field is missing or a value is invalid.
Result<WorkloadSpec> ParseWorkload(std::string_view text);

/// Plans Poisson arrivals for each stream and returns them in order of time.
std::vector<PlannedRequest> PlanArrivals(const WorkloadSpec& spec);

}  // namespace tanagerloom

#endif  // LOAD_WORKLOAD_H_
