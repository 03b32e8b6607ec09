// Defines Batch, which runs the inference requests of the engine stand-in: up
// to its capacity at the same time, the others queue by priority. Each request
// generates tokens at a constant rate.
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

/// One inference request and the tokens generated for it.
struct Generation {
  std::string request_id;
  std::string model;  ///< Name in the request, with any adapter.
  std::string prompt;
  int max_tokens = 0;
  int priority = 0;     ///< Lower values run first.
  bool stream = false;  ///< Whether the client asked for an event stream.
  std::shared_ptr<Replica> replica;  ///< Replica that serves the request.

  std::vector<std::string> tokens;  ///< Tokens generated so far.
  bool completed = false;           ///< All tokens were generated.
  bool cancelled = false;
  bool crashed = false;  ///< The engine crashed before completion.
  int readers = 0;       ///< Open responses that stream the tokens.
  EventFlag changed;     ///< Signalled at each new token and at the end.

  /// Whether no further token will be generated.
  bool HasEnded() const { return completed || cancelled || crashed; }
};

/// Runs generations in fibers; those beyond the capacity wait.
class Batch {
 public:
  /// Reads capacity, queue limit and speed from `flags`. `crash` is called when
  /// a prompt that contains CRASH_ENGINE starts to run.
  Batch(const Flags& flags,
        TestControl& control,
        Ledger& ledger,
        std::function<void()> crash);

  /// Starts a generation in its own fiber. Returns false without starting it if
  /// the queue is full.
  bool Start(const std::shared_ptr<Generation>& generation);

  /// Returns the generation of a request: a waiting or running one, or one that
  /// ended within the retention time. Null if there is none.
  std::shared_ptr<Generation> Find(const std::string& request_id) const;

  /// Marks every generation as crashed and forgets it and the prefix cache.
  void CrashAll();

  /// Returns the body of GET /control/load. It lags behind the real load by the
  /// flag report-lag-ms.
  const nlohmann::json& lagging_load() const { return lagging_load_; }

  PrefixCache& prefixes() { return prefixes_; }

 private:
  /// Runs a generation from the queue to the end of its retention time.
  void Run(const std::shared_ptr<Generation>& generation);
  /// Waits in the queue and takes a slot. Returns false if the generation ends
  /// before it gets one.
  bool WaitForSlot(const std::shared_ptr<Generation>& generation);
  /// Generates the tokens of a generation that has a slot.
  void Generate(Generation& generation);
  nlohmann::json LoadJson() const;

  TestControl& control_;
  Ledger& ledger_;
  std::function<void()> crash_;
  int capacity_;  ///< Limit on generations that run at the same time.
  std::size_t max_waiting_;
  double token_ms_;
  double prefill_ms_per_block_;
  PrefixCache prefixes_;
  int running_ = 0;
  std::multimap<int, Generation*> waiting_;  ///< Queue by priority.
  EventFlag slots_changed_;
  /// Generations by request id.
  std::map<std::string, std::shared_ptr<Generation>> generations_;
  nlohmann::json lagging_load_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_BATCH_H_
