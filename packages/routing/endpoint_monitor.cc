#include "routing/endpoint_monitor.h"

#include <boost/fiber/fiber.hpp>

#include "ports/engine_control.h"

namespace tanagerloom {

namespace {

// Reports lag by some hundred milliseconds, so that reading them more often has
// no benefit.
constexpr Duration kReadInterval = std::chrono::milliseconds(500);

// Only engines that this node used within this time are read; it has no use for
// the reports of others.
constexpr Duration kRecentUse = std::chrono::seconds(10);

// Max number of engines read in one interval, which bounds the control traffic
// of a node.
constexpr int kMaxReadsPerInterval = 16;

// Max number of prefix blocks kept for one engine. Beyond it the view is
// cleared and built again from new events; a wrong view only costs a cache
// miss.
constexpr std::size_t kMaxPrefixBlocksPerEngine = 32768;

}  // namespace

EndpointMonitor::EndpointMonitor(const RoutingDependencies& deps,
                                 EndpointTable& endpoints)
    : deps_(deps), endpoints_(endpoints) {}

void EndpointMonitor::Start() {
  boost::fibers::fiber([this] { Loop(); }).detach();
}

void EndpointMonitor::Loop() {
  std::string last;
  while (true) {
    deps_.clock.SleepFor(kReadInterval);
    const auto oldest = deps_.clock.Now() - kRecentUse;
    auto& states = endpoints_.states();
    // Continues after the last engine that was read, so that all are read in
    // turn.
    auto it = states.upper_bound(last);
    int reads = 0;
    for (std::size_t i = 0; i < states.size() && reads < kMaxReadsPerInterval;
         ++i, ++it) {
      if (it == states.end()) {
        it = states.begin();
      }
      auto& state = it->second;
      last = it->first;
      if (!state.is_engine || state.reading_reports || state.used_at < oldest) {
        continue;
      }
      ++reads;
      state.reading_reports = true;
      boost::fibers::fiber([this, endpoint = last] {
        Read(endpoint);
      }).detach();
    }
  }
}

void EndpointMonitor::Read(const std::string& endpoint) {
  const auto address = endpoints_.Get(endpoint).address;
  if (const auto load = deps_.engines.ReadLoad(address)) {
    auto& state = endpoints_.Get(endpoint);
    state.reported_load =
        load.assume_value().running + load.assume_value().waiting;
    state.reported_at = deps_.clock.Now();
  }
  ReadCache(endpoint);
  endpoints_.Get(endpoint).reading_reports = false;
}

void EndpointMonitor::ReadCache(const std::string& endpoint) {
  const auto& before = endpoints_.Get(endpoint);
  const auto events =
      deps_.engines.ReadCacheEvents(before.address, before.cache_sequence);
  if (!events) {
    return;
  }
  auto& state = endpoints_.Get(endpoint);
  for (const auto& it : events.assume_value()) {
    state.cache_sequence = std::max(state.cache_sequence, it.sequence);
    if (it.stored) {
      state.cached_prefixes.insert(it.block);
    } else {
      state.cached_prefixes.erase(it.block);
    }
  }
  if (state.cached_prefixes.size() > kMaxPrefixBlocksPerEngine) {
    state.cached_prefixes.clear();
  }
}

}  // namespace tanagerloom
