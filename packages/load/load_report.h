// Defines LoadReport, the results of a load run: numbers of answers, refusals
// and failures and the distributions of times for each stream of traffic.
#ifndef LOAD_LOAD_REPORT_H_
#define LOAD_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace tanagerloom {

/// How one request ended.
enum class LoadOutcome {
  kAnswered,
  kRefusedNotRun,
  kRefusedMayHaveRun,
  kFailed,  ///< No response, a truncated one, or a refusal without a verdict.
};

/// One finished request. Durations are measured from the planned send time.
struct LoadSample {
  LoadOutcome outcome = LoadOutcome::kFailed;
  std::string detail;  ///< Code of the refusal, or the cause of the failure.
  std::chrono::nanoseconds first_byte{0};
  std::chrono::nanoseconds total{0};
  /// Time for which the request waited for a load; 0 if a replica was loaded.
  std::chrono::nanoseconds cold_wait{0};
  bool within_deadline = false;  ///< The first byte arrived in time.
};

/// Percentiles of a set of durations, in milliseconds.
struct Percentiles {
  std::size_t count = 0;
  double mean = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double max = 0;
};

/// Computes exact percentiles; all are 0 if there are no values.
Percentiles ComputePercentiles(
    const std::vector<std::chrono::nanoseconds>& values);

/// Results of one stream of traffic.
struct TrafficReport {
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t refused_may_have_run = 0;
  std::uint64_t failed = 0;
  std::uint64_t within_deadline = 0;
  /// Numbers of requests by LoadSample::detail.
  std::map<std::string, std::uint64_t> details;
  Percentiles first_byte;
  Percentiles total;
  Percentiles cold_wait;  ///< Only of the requests that waited for a load.
};

/// Results of a load run.
struct LoadReport {
  std::string workload;
  std::uint64_t seed = 0;
  std::uint64_t planned = 0;
  std::map<std::string, TrafficReport> traffic;  ///< By name of the stream.
  TrafficReport all;                             ///< Of all streams together.

  nlohmann::json ToJson() const;
  std::string ToTable() const;
};

/// Summarises the samples of one stream.
TrafficReport Summarise(const std::vector<LoadSample>& samples);

}  // namespace tanagerloom

#endif  // LOAD_LOAD_REPORT_H_
