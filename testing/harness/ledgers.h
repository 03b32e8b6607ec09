// Defines queries on the ledgers of the stand-ins. With these, tests check what
// the endpoints did, whatever clients and nodes report.
#ifndef TESTING_HARNESS_LEDGERS_H_
#define TESTING_HARNESS_LEDGERS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// Returns the events of one kind.
std::vector<nlohmann::json> EventsOfKind(const nlohmann::json& events,
                                         const std::string& kind);

/// Returns, for each "MODEL@VERSION[:ADAPTER]", the greatest number of replicas
/// that were in the memory of all engines together at the same time. `ledgers`
/// has the events of each engine.
std::map<std::string, int> PeakReplicas(
    const std::vector<nlohmann::json>& ledgers);

/// Returns the greatest memory in MB that was reserved on an engine at the same
/// time.
std::uint64_t PeakMemoryMb(const nlohmann::json& events);

/// Returns how often each request id was run.
std::map<std::string, int> RunsByRequest(const nlohmann::json& events);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_LEDGERS_H_
