// Defines EngineReport, the last reported state of an engine in the form that
// placement decisions use, and EngineStatus, all that a node knows about an
// engine.
#ifndef DECISION_ENGINE_REPORT_H_
#define DECISION_ENGINE_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/model_key.h"
#include "decision/cell_record.h"

namespace tanagerloom {

/// The state of one model or adapter on an engine.
struct ReportedEntry {
  enum class State { kLoading, kLoaded, kFailed };

  ModelKey key;
  State state = State::kLoading;
  std::string order;  ///< Id of the order that created the entry.
  std::string cause;  ///< Why the load failed; empty if it did not.
};

/// The state of an engine as read from it.
struct EngineReport {
  /// Monotonic time at which the read started; the state is not older.
  std::uint64_t read_started_ms = 0;
  std::string boot;                 ///< Id of the start of the engine.
  std::uint64_t sequence = 0;       ///< Sequence number of the state.
  std::uint64_t highest_fence = 0;  ///< Highest fencing token of its orders.
  std::uint64_t memory_mb = 0;      ///< Memory capacity.
  std::uint64_t used_mb = 0;        ///< Memory in use.
  bool leaving = false;
  /// Fastest source of each model with a cached copy, by model name.
  std::map<std::string, WeightSource> cached;
  std::vector<ReportedEntry> entries;

  /// Returns the entry of a key, or null.
  const ReportedEntry* Find(const ModelKey& key) const {
    for (const auto& it : entries) {
      if (it.key == key) {
        return &it;
      }
    }
    return nullptr;
  }
};

/// A load report of an engine. Its counts lag behind the real load.
struct EngineLoadReport {
  std::uint64_t read_started_ms = 0;  ///< Monotonic time of the read.
  std::uint32_t running = 0;          ///< Requests that run on the engine.
  std::uint32_t waiting = 0;          ///< Requests that wait on the engine.
};

/// What a node knows about an engine.
struct EngineStatus {
  bool listed = false;   ///< The VM list has the engine.
  bool leaving = false;  ///< According to the VM list or a peer.
  /// Monotonic time since which the engine is not listed, if it is not.
  std::uint64_t unlisted_since_ms = 0;
  bool was_listed = false;  ///< The engine was in the VM list at some time.
  bool reachable = false;   ///< The last state read succeeded.
  std::optional<EngineReport> report;    ///< Last successful read of its state.
  std::optional<EngineLoadReport> load;  ///< Read only when needed.
};

using EngineStatusMap = std::map<std::string, EngineStatus, std::less<>>;

}  // namespace tanagerloom

#endif  // DECISION_ENGINE_REPORT_H_
