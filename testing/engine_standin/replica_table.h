// Defines ReplicaTable: the models and adapters that the engine stand-in holds,
// and the orders that change them.
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
  std::string state;  ///< "loading", "loaded" or "failed".
  std::string order;
  std::string cause;
  int running = 0;         ///< Requests that use it.
  bool unloading = false;  ///< Refuses new requests.
  bool removed = false;    ///< Removed from memory.
};

/// The engine's memory. It takes a load that does not fit, so that the ledger's
/// peak shows an overcommitment.
class ReplicaTable {
 public:
  ReplicaTable(const Flags& flags, TestControl& control, Ledger& ledger);

  /// Executes an order; returns the status and body of the answer.
  std::pair<int, nlohmann::json> Execute(const nlohmann::json& order);

  /// The body of GET /control/state.
  nlohmann::json State() const;

  /// The loaded replica that serves "MODEL[@VERSION][:ADAPTER]"; null if none.
  std::shared_ptr<Replica> FindServing(const std::string& name) const;

  /// Empties the memory under a new boot id, as a restart does.
  void Restart();

  const std::string& boot() const { return boot_; }
  std::uint64_t peak_mb() const { return peak_mb_; }
  std::size_t peak_replicas() const { return peak_replicas_; }
  const std::map<std::string, int>& load_counts() const { return load_counts_; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  using Entry = std::shared_ptr<Replica>;

  static Key KeyOf(const Replica& replica) {
    return {replica.model, replica.version, replica.adapter};
  }

  std::pair<int, nlohmann::json> CheckOrder(const nlohmann::json& order) const;
  void Load(const Entry& entry, const std::string& source);
  void RunLoadOrder(const Entry& entry, const std::string& source);
  std::string FetchWeights(const Replica& replica, const std::string& source);
  void Unload(const Key& key, const std::string& order);
  void Remove(const Entry& entry);
  void CacheInMemory(const std::string& model);
  nlohmann::json Describe(const Replica& replica) const;

  TestControl& control_;
  Ledger& ledger_;
  HttpClient client_;
  Address weight_store_;
  std::uint64_t memory_mb_;
  bool checks_fence_;
  double disk_ms_per_gb_;
  double memory_ms_per_gb_;
  std::size_t cache_models_;

  std::string boot_;
  std::uint64_t sequence_ = 0;
  std::uint64_t highest_fence_ = 0;
  std::map<Key, Entry> entries_;
  std::map<std::string, std::pair<int, nlohmann::json>> answers_by_order_;
  std::map<std::string, std::string> cached_;
  std::list<std::string> cached_in_memory_;  ///< Latest first.
  std::uint64_t used_mb_ = 0;
  std::uint64_t peak_mb_ = 0;
  std::size_t peak_replicas_ = 0;
  std::map<std::string, int> load_counts_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_ENGINE_STANDIN_REPLICA_TABLE_H_
