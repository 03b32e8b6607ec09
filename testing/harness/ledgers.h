// Defines queries over the ledgers of the stand-ins, by which tests check what
// really happened at the endpoints.
#ifndef TESTING_HARNESS_LEDGERS_H_
#define TESTING_HARNESS_LEDGERS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// Events of one kind.
std::vector<nlohmann::json> EventsOfKind(const nlohmann::json& events,
                                         const std::string& kind);

/// The greatest number of replicas of each "MODEL@VERSION[:ADAPTER]" that were
/// in memory at the same time on all engines together. `ledgers` holds the
/// events of each engine.
std::map<std::string, int> PeakReplicas(
    const std::vector<nlohmann::json>& ledgers);

/// The greatest memory that was reserved on one engine.
std::uint64_t PeakMemoryMb(const nlohmann::json& events);

/// How often each request id was run.
std::map<std::string, int> RunsByRequest(const nlohmann::json& events);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_LEDGERS_H_
