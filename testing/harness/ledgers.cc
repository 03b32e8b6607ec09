#include "testing/harness/ledgers.h"

#include <algorithm>
#include <set>

namespace tanagerloom::testing_support {

namespace {

// Returns "MODEL@VERSION[:ADAPTER]".
std::string ReplicaKey(const nlohmann::json& event) {
  const auto adapter = event.value("adapter", "");
  return event.value("model", "") + "@" + event.value("version", "") +
         (adapter.empty() ? "" : ":" + adapter);
}

}  // namespace

std::vector<nlohmann::json> EventsOfKind(const nlohmann::json& events,
                                         const std::string& kind) {
  std::vector<nlohmann::json> found;
  std::copy_if(events.begin(), events.end(), std::back_inserter(found),
               [&](const auto& it) { return it.value("kind", "") == kind; });
  return found;
}

std::map<std::string, int> PeakReplicas(
    const std::vector<nlohmann::json>& ledgers) {
  // All engines run on one machine, so that the times of their events are
  // comparable. At equal times releases count first, because the real order is
  // not known.
  struct Change {
    std::int64_t at_ms;
    int delta;
    std::string key;
  };
  std::vector<Change> changes;
  for (const auto& events : ledgers) {
    std::set<std::string> loaded;
    for (const auto& it : events) {
      const auto kind = it.value("kind", "");
      const auto at = it.value("at_ms", std::int64_t{0});
      if (kind == "load_started" && loaded.insert(ReplicaKey(it)).second) {
        changes.push_back({at, 1, ReplicaKey(it)});
      } else if (kind == "released" && loaded.erase(ReplicaKey(it)) > 0) {
        changes.push_back({at, -1, ReplicaKey(it)});
      } else if (kind == "crash" || kind == "boot") {
        for (const auto& key : loaded) {
          changes.push_back({at, -1, key});
        }
        loaded.clear();
      }
    }
  }
  std::sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) {
    return std::tie(a.at_ms, a.delta) < std::tie(b.at_ms, b.delta);
  });
  std::map<std::string, int> current;
  std::map<std::string, int> peak;
  for (const auto& it : changes) {
    current[it.key] += it.delta;
    peak[it.key] = std::max(peak[it.key], current[it.key]);
  }
  return peak;
}

std::uint64_t PeakMemoryMb(const nlohmann::json& events) {
  std::uint64_t peak = 0;
  for (const auto& it : EventsOfKind(events, "load_started")) {
    peak = std::max(peak, it.value("used_mb", std::uint64_t{0}));
  }
  return peak;
}

std::map<std::string, int> RunsByRequest(const nlohmann::json& events) {
  std::map<std::string, int> runs;
  for (const auto& it : events) {
    const auto kind = it.value("kind", "");
    if (kind == "request" || kind == "run") {
      ++runs[it.value("request_id", "")];
    }
  }
  return runs;
}

}  // namespace tanagerloom::testing_support
