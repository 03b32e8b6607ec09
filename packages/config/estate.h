// Defines Estate, the accepted configuration of all operators as the nodes use
// it. An estate is never modified: each change builds a new one with a higher
// version.
#ifndef CONFIG_ESTATE_H_
#define CONFIG_ESTATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/model_key.h"

namespace tanagerloom {

/// A class of requests with the same precedence.
struct PrecedenceClass {
  std::string name;
  std::uint32_t rank = 0;  ///< Requests of a lower rank are served first.
  /// Time limit of a request that states none.
  std::chrono::milliseconds default_deadline{30000};
  /// Whether the requests are deferred work, which has long deadlines and is
  /// served last.
  bool may_wait = false;
};

/// A pool of VMs. Its engines share one placement record.
struct PoolSpec {
  std::string name;
  /// Whether the engines refuse orders with an outdated fencing token.
  bool checks_fence = false;
  /// Cost of one second of waiting for a cold start, in the unit of
  /// `idle_cost_per_hour`.
  double cold_start_cost_per_s = 1.0;
  /// Cost of one hour in which a loaded model is idle.
  double idle_cost_per_hour = 1.0;
  std::uint32_t engine_count = 0;      ///< Number of engines; 0 if not stated.
  std::uint64_t engine_memory_mb = 0;  ///< Memory per engine; 0 if not stated.
};

/// The resources granted to an operator, and the digest of its token.
struct OperatorGrant {
  std::string name;
  std::string token_salt;
  std::string token_sha256;  ///< SHA-256 of the salt followed by the token.
  std::vector<std::string> classes;  ///< Precedence classes it may use.
  std::vector<std::string> pools;    ///< Pools it may use.
  /// Limit on the memory of all replicas that the operator's replica limits
  /// allow; empty means no limit.
  std::optional<std::uint64_t> reserved_memory_mb;
  /// Limit on the sum of the operator's replica limits; empty means no limit.
  std::optional<std::uint64_t> replicas;
};

/// An adapter of a model.
struct AdapterSpec {
  std::string name;
  std::string operator_name;
  std::uint64_t memory_mb = 0;  ///< Memory of one replica.
  std::uint32_t replica_limit = 1;
};

/// A model that an operator offers.
struct ModelSpec {
  std::string name;
  std::string operator_name;
  std::string version;
  std::string pool;
  std::uint64_t memory_mb = 0;  ///< Memory of one replica, without adapters.
  std::uint32_t replica_limit = 1;
  /// Expected duration of a load from the weight store.
  std::chrono::milliseconds expected_load{5000};
  /// Sources from which replicas may be loaded: "memory" and "disk" are the
  /// engine's cached copies, "remote" is the weight store.
  std::vector<std::string> sources{"memory", "disk", "remote"};
  std::map<std::string, AdapterSpec, std::less<>> adapters;
};

/// Whether matching calls of a plain service may be retried. The first rule of
/// the service that matches a call decides.
struct ServiceRule {
  std::string method;       ///< HTTP method; "*" matches every method.
  std::string path_prefix;  ///< Prefix of the path below /services/NAME.
  bool retryable = false;
};

/// A plain service; its endpoints are the VMs of `pool`.
struct ServiceSpec {
  std::string name;
  std::string operator_name;
  std::string pool;
  std::vector<ServiceRule> rules;
  std::uint32_t max_in_flight = 64;  ///< Limit per endpoint.
};

/// A client of an operator.
struct ClientSpec {
  std::string name;
  std::string operator_name;
  std::string key_sha256;            ///< SHA-256 of its key, hexadecimal.
  std::vector<std::string> classes;  ///< Allowed classes; the first is default.
};

/// Limits on loads from the weight store.
struct WeightStoreLimits {
  std::uint32_t concurrent_loads = 4;
  double loads_per_s = 4.0;
  std::uint32_t concurrent_adapter_loads = 32;
};

/// The model, and adapter if any, that a client's model name refers to.
struct ResolvedModel {
  ModelKey key;
  const ModelSpec* model = nullptr;
  const AdapterSpec* adapter = nullptr;  ///< Null for a base model.
};

/// The accepted configuration of all operators.
struct Estate {
  std::uint64_t version = 0;  ///< 0 before the first configuration.
  std::map<std::string, PoolSpec, std::less<>> pools;
  std::map<std::string, ModelSpec, std::less<>> models;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, ClientSpec, std::less<>> clients;
  std::map<std::string, PrecedenceClass, std::less<>> classes;
  WeightStoreLimits weight_store;
  std::map<std::string, OperatorGrant, std::less<>> operators;

  /// Resolves "MODEL" or "MODEL:ADAPTER"; empty if it is not offered. The
  /// result points into this estate.
  std::optional<ResolvedModel> Resolve(std::string_view name) const;

  /// The client with this key; null if there is none. The time of the search
  /// does not depend on the key.
  const ClientSpec* FindClient(std::string_view key) const;

  /// The replica limit of a key; 0 if it is not offered in that version.
  std::uint32_t ReplicaLimit(const ModelKey& key) const;

  /// The memory of one replica of a key; 0 if it is not offered in that
  /// version.
  std::uint64_t MemoryMb(const ModelKey& key) const;

  /// Whether `token` is the operator's token. The time of the comparison is the
  /// same for every wrong token.
  bool IsOperatorToken(std::string_view operator_name,
                       std::string_view token) const;
};

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_H_
