// Defines LoadGenerator, which sends a planned workload to nodes. Arrivals are
// open-loop: each request is sent at its planned time whether or not earlier
// ones are answered, and its times count from then.
#ifndef LOAD_LOAD_GENERATOR_H_
#define LOAD_LOAD_GENERATOR_H_

#include <functional>
#include <vector>

#include "base/address.h"
#include "load/load_report.h"
#include "load/workload.h"
#include "runtime/clock.h"

namespace tanagerloom {

class HttpClient;

/// Progress of a run.
struct LoadProgress {
  std::size_t planned = 0;
  std::size_t sent = 0;
  std::size_t finished = 0;
};

/// Sends one workload.
class LoadGenerator {
 public:
  /// Requests go to `nodes` in turn, as the platform's balancer spreads them.
  LoadGenerator(HttpClient& client, Clock& clock, std::vector<Address> nodes);

  /// Runs to the end and returns the report. `progress` is called about once a
  /// second and may be empty.
  LoadReport Run(const WorkloadSpec& spec,
                 const std::function<void(const LoadProgress&)>& progress);

 private:
  LoadSample SendOne(const WorkloadSpec& spec,
                     const PlannedRequest& planned,
                     const Address& node,
                     TimePoint planned_time);

  HttpClient& client_;
  Clock& clock_;
  std::vector<Address> nodes_;
};

}  // namespace tanagerloom

#endif  // LOAD_LOAD_GENERATOR_H_
