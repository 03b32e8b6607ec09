// Defines Workload, the planned arrivals of a load run. The same description
// and seed give the same arrivals, so that policies are compared on equal work.
#ifndef LOAD_WORKLOAD_H_
#define LOAD_WORKLOAD_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace tanagerloom {

/// How the requests of one stream choose among its targets and arrive.
struct TrafficSpec {
  std::string name;  ///< Shown in the report.
  std::string precedence;
  std::string caller_key;
  std::vector<std::string> models;  ///< Empty for a service.
  std::string service;              ///< Empty for models.
  std::string service_path;
  bool repeatable = true;  ///< False adds an idempotency key to each request.
  bool stream = true;
  double requests_per_s = 1.0;  ///< Before `burst_factor`.
  double start_s = 0.0;
  double end_s = 0.0;
  double skew = 0.0;  ///< Exponent of the Zipf choice among the models.
  std::uint32_t prompt_bytes = 200;
  std::uint32_t shared_prefix_bytes = 0;  ///< Equal for a model's requests.
  std::uint32_t max_tokens = 16;
  std::chrono::milliseconds deadline{30000};
};

/// A load run.
struct WorkloadSpec {
  std::string name;
  std::uint64_t seed = 1;
  std::vector<TrafficSpec> traffic;
};

/// One request and when it is to be sent.
struct PlannedRequest {
  std::chrono::nanoseconds at{0};
  std::size_t traffic = 0;  ///< Index into WorkloadSpec::traffic.
  std::string target;       ///< Path of the request.
  std::string body;
  std::string idempotency_key;  ///< Empty for none.
};

/// Reads a workload from JSON with comments.
Result<WorkloadSpec> ParseWorkload(std::string_view text);

/// Plans all arrivals, in order of time: Poisson arrivals for each stream.
std::vector<PlannedRequest> PlanArrivals(const WorkloadSpec& spec);

}  // namespace tanagerloom

#endif  // LOAD_WORKLOAD_H_
