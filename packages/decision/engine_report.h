// Defines EngineReport, what an engine last said about itself, as decisions use
// it, and EngineStatus, all that a node knows about one server.
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

/// State of one model or adapter on an engine.
struct ReportedEntry {
  enum class State { kLoading, kLoaded, kFailed };

  ModelKey key;
  State state = State::kLoading;
  std::string order;
  std::string cause;  ///< Of a failed load.
};

/// A report of an engine. Times are local monotonic milliseconds.
struct EngineReport {
  std::uint64_t read_started_ms = 0;  ///< The state is not older than this.
  std::string boot;
  std::uint64_t sequence = 0;
  std::uint64_t highest_fence = 0;
  std::uint64_t memory_mb = 0;
  std::uint64_t used_mb = 0;
  bool leaving = false;
  std::map<std::string, WeightSource> cached;
  std::vector<ReportedEntry> entries;

  const ReportedEntry* Find(const ModelKey& key) const {
    for (const auto& it : entries) {
      if (it.key == key) {
        return &it;
      }
    }
    return nullptr;
  }
};

/// A load report of an engine, which lags.
struct EngineLoadReport {
  std::uint64_t read_started_ms = 0;  ///< Local monotonic milliseconds.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// What a node knows about a server.
struct EngineStatus {
  bool listed = false;   ///< In the VM list.
  bool leaving = false;  ///< By the VM list or a notice from a peer.
  std::uint64_t unlisted_since_ms = 0;  ///< Valid if not listed.
  bool was_listed = false;  ///< This process has seen it in the VM list.
  bool reachable = false;   ///< The last state read succeeded.
  std::optional<EngineReport> report;
  std::optional<EngineLoadReport> load;  ///< Read only when it is needed.
};

using EngineStatusMap = std::map<std::string, EngineStatus, std::less<>>;

}  // namespace tanagerloom

#endif  // DECISION_ENGINE_REPORT_H_
