// Defines LoadGenerator, which sends a planned workload to nodes. Arrivals are
// open-loop: each request is sent at its planned time whether or not earlier
// ones are answered, and its durations are measured from that time.
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

/// Numbers of requests of a run.
struct LoadProgress {
  std::size_t planned = 0;
  std::size_t sent = 0;
  std::size_t finished = 0;
};

/// Sends workloads to a set of nodes.
class LoadGenerator {
 public:
  /// Requests go to `nodes` in turn, as the platform's load balancer
  /// distributes them.
  LoadGenerator(HttpClient& client, Clock& clock, std::vector<Address> nodes);

  /// Sends all requests, waits for their ends and returns the report.
  /// `progress` is called about once a second and may be empty.
  LoadReport Run(const WorkloadSpec& spec,
                 const std::function<void(const LoadProgress&)>& progress);

 private:
  /// Sends one request, reads the response and returns how it ended.
  LoadSample SendRequest(const WorkloadSpec& spec,
                         const PlannedRequest& planned,
                         const Address& node,
                         TimePoint planned_time);

  HttpClient& client_;
  Clock& clock_;
  std::vector<Address> nodes_;
};

}  // namespace tanagerloom

#endif  // LOAD_LOAD_GENERATOR_H_
