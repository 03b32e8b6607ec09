// Defines ReplicaTable: the models and adapters in the memory of the engine
// stand-in, and the execution of the orders that load and unload them.
#ifndef TESTING_ENGINE_STANDIN_REPLICA_TABLE_H_
#define TESTING_ENGINE_STANDIN_REPLICA_TABLE_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

#include "base/address.h"
#include "http/http_client.h"
#include "testing/support/flags.h"
#include "testing/support/ledger.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {

/// A model or adapter in the engine's memory.
struct Replica {
  std::string model;
  std::string version;
  std::string adapter;
  std::uint64_t memory_mb = 0;
  std::string state;       ///< "loading", "loaded" or "failed".
  std::string order;       ///< Id of the latest order for this replica.
  std::string cause;       ///< Why the load failed; empty if it did not.
  int running = 0;         ///< Requests that wait for or use the replica.
  bool unloading = false;  ///< Accepts no new requests.
  bool removed = false;    ///< No longer in memory.
};

/// The replicas in the engine's memory. A load that exceeds the memory is
/// accepted nevertheless, so that the peak in the ledger shows the overcommit.
class ReplicaTable {
 public:
  ReplicaTable(const Flags& flags, TestControl& control, Ledger& ledger);

  /// Accepts or refuses an order; returns the status and body of the answer. An
  /// accepted order is executed in its own fiber. The same order id gets the
  /// same answer again without effect, except after a 503.
  std::pair<int, nlohmann::json> Execute(const nlohmann::json& order);

  /// Returns the body of GET /control/state.
  nlohmann::json State() const;

  /// Returns the loaded replica that serves "MODEL[@VERSION][:ADAPTER]"; null
  /// if there is none.
  std::shared_ptr<Replica> FindServing(const std::string& name) const;

  /// Empties the memory and takes a new boot id, as a restart does. Models
  /// cached in memory or on disk remain cached on disk.
  void Restart();

  const std::string& boot() const { return boot_; }
  /// Greatest memory that was reserved at the same time, in MB.
  std::uint64_t peak_mb() const { return peak_mb_; }
  /// Greatest number of replicas at the same time.
  std::size_t peak_replicas() const { return peak_replicas_; }
  /// Loads started so far by "MODEL[:ADAPTER]".
  const std::map<std::string, int>& load_counts() const { return load_counts_; }

 private:
  /// Model, version and adapter.
  using Key = std::tuple<std::string, std::string, std::string>;
  using Entry = std::shared_ptr<Replica>;

  static Key KeyOf(const Replica& replica) {
    return {replica.model, replica.version, replica.adapter};
  }

  /// Returns status 200 if the order is to be executed, else the refusal.
  std::pair<int, nlohmann::json> CheckOrder(const nlohmann::json& order) const;
  void Load(const Entry& entry, const std::string& source);
  /// Loads the weights and records the result in the entry and the ledger.
  void RunLoadOrder(const Entry& entry, const std::string& source);
  /// Waits until the weights are read from the cache or the weight store.
  /// Returns the cause of a failure; empty on success.
  std::string FetchWeights(const Replica& replica, const std::string& source);
  /// Removes a replica as soon as no request uses it; no effect if the key is
  /// unknown.
  void Unload(const Key& key, const std::string& order);
  void Remove(const Entry& entry);
  /// Keeps a model as the newest cached copy in host memory; the oldest copy
  /// above the limit stays on disk only.
  void CacheInMemory(const std::string& model);
  /// Returns the fields of a replica for the ledger and the state.
  nlohmann::json Describe(const Replica& replica) const;

  TestControl& control_;
  Ledger& ledger_;
  HttpClient client_;
  Address weight_store_;
  std::uint64_t memory_mb_;
  bool checks_fence_;
  double disk_ms_per_gb_;
  double memory_ms_per_gb_;
  std::size_t cache_models_;  ///< Limit on cached copies in host memory.

  std::string boot_;
  std::uint64_t sequence_ = 0;       ///< Rises with each change of the state.
  std::uint64_t highest_fence_ = 0;  ///< Highest fencing token accepted.
  std::map<Key, Entry> entries_;
  std::map<std::string, std::pair<int, nlohmann::json>> answers_by_order_;
  /// "memory" or "disk" by model, for models with a cached copy.
  std::map<std::string, std::string> cached_;
  std::list<std::string> cached_in_memory_;  ///< Newest first.
  std::uint64_t used_mb_ = 0;
  std::uint64_t peak_mb_ = 0;
  std::size_t peak_replicas_ = 0;
  std::map<std::string, int> load_counts_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_REPLICA_TABLE_H_
