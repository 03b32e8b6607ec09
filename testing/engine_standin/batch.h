// Defines Batch: the requests that the engine stand-in generates at the same
// time, in order of priority, each at a constant speed.
#ifndef TESTING_ENGINE_STANDIN_BATCH_H_
#define TESTING_ENGINE_STANDIN_BATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runtime/event_flag.h"
#include "testing/engine_standin/prefix_cache.h"
#include "testing/engine_standin/replica_table.h"
#include "testing/support/flags.h"
#include "testing/support/ledger.h"

namespace tanagerloom::testing_support {

/// One request at the engine.
struct Generation {
  std::string request_id;
  std::string model;  ///< As named in the request.
  std::string prompt;
  int max_tokens = 0;
  int priority = 0;  ///< Lower ones run first.
  bool stream = false;
  std::shared_ptr<Replica> replica;

  std::vector<std::string> tokens;
  bool completed = false;
  bool cancelled = false;
  bool crashed = false;
  int readers = 0;  ///< Responses that read it.
  EventFlag changed;

  bool HasEnded() const { return completed || cancelled || crashed; }
};

/// Runs generations; those beyond the capacity wait.
class Batch {
 public:
  /// `crash` is called by a prompt that crashes the engine.
  Batch(const Flags& flags,
        TestControl& control,
        Ledger& ledger,
        std::function<void()> crash);

  /// Starts a generation in its own fiber; false if too many wait.
  bool Start(const std::shared_ptr<Generation>& generation);

  /// A running generation, or one that ended recently; null if none.
  std::shared_ptr<Generation> Find(const std::string& request_id) const;

  /// Ends every generation as a crash does.
  void CrashAll();

  /// The body of GET /control/load, which lags.
  const nlohmann::json& lagging_load() const { return lagging_load_; }

  PrefixCache& prefixes() { return prefixes_; }

 private:
  void Run(const std::shared_ptr<Generation>& generation);
  bool WaitForSlot(const std::shared_ptr<Generation>& generation);
  void Generate(Generation& generation);
  nlohmann::json LoadJson() const;

  TestControl& control_;
  Ledger& ledger_;
  std::function<void()> crash_;
  int capacity_;
  std::size_t max_waiting_;
  double token_ms_;
  double prefill_ms_per_block_;
  PrefixCache prefixes_;
  int running_ = 0;
  std::multimap<int, Generation*> waiting_;
  EventFlag slots_changed_;
  std::map<std::string, std::shared_ptr<Generation>> generations_;
  nlohmann::json lagging_load_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_BATCH_H_
