// Defines Estate, the accepted configuration of all operators as the nodes use
// it. It is immutable; a change makes a new one with a higher version.
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

/// A precedence class of requests.
struct PrecedenceClass {
  std::string name;
  std::uint32_t rank = 0;  ///< Lower ranks are served first.
  std::chrono::milliseconds default_deadline{30000};
  bool may_wait = false;  ///< Deferred work: long deadlines, served last.
};

/// A group of servers with one placement record.
struct PoolSpec {
  std::string name;
  bool checks_fence = false;  ///< The engines refuse old fencing numbers.
  double cold_start_cost_per_s = 1.0;
  double idle_cost_per_hour = 1.0;
  std::uint32_t engine_count = 0;      ///< 0 if not stated.
  std::uint64_t engine_memory_mb = 0;  ///< 0 if not stated.
};

/// What the estate grants to an operator, and how its token is checked.
struct OperatorGrant {
  std::string name;
  std::string token_salt;
  std::string token_sha256;  ///< SHA-256 of the salt followed by the token.
  std::vector<std::string> classes;
  std::vector<std::string> pools;
  /// Limit on the sum of replica limit times memory; empty means no limit.
  std::optional<std::uint64_t> reserved_memory_mb;
  /// Limit on the sum of replica limits; empty means no limit.
  std::optional<std::uint64_t> replicas;
};

/// An adapter of a model.
struct AdapterSpec {
  std::string name;
  std::string operator_name;
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 1;
};

/// A model that an operator offers.
struct ModelSpec {
  std::string name;
  std::string operator_name;
  std::string version;
  std::string pool;
  std::uint64_t memory_mb = 0;
  std::uint32_t replica_limit = 1;
  std::chrono::milliseconds expected_load{5000};  ///< From the weight store.
  /// Where replicas may be loaded from: "memory", "disk", "remote".
  std::vector<std::string> sources{"memory", "disk", "remote"};
  std::map<std::string, AdapterSpec, std::less<>> adapters;
};

/// Whether calls of a plain service may be repeated; the first match decides.
struct ServiceRule {
  std::string method;       ///< "*" matches all.
  std::string path_prefix;  ///< Below /services/NAME.
  bool retryable = false;
};

/// A plain service; its endpoints are the VMs of `pool`.
struct ServiceSpec {
  std::string name;
  std::string operator_name;
  std::string pool;
  std::vector<ServiceRule> rules;
  std::uint32_t max_in_flight = 64;  ///< For each endpoint.
};

/// A caller of an operator.
struct ClientSpec {
  std::string name;
  std::string operator_name;
  std::string key_sha256;            ///< Hexadecimal.
  std::vector<std::string> classes;  ///< The first is the default.
};

/// Limits of the weight store.
struct WeightStoreLimits {
  std::uint32_t concurrent_loads = 4;
  double loads_per_s = 4.0;
  std::uint32_t concurrent_adapter_loads = 32;
};

/// What a caller's model name stands for.
struct ResolvedModel {
  ModelKey key;
  const ModelSpec* model = nullptr;
  const AdapterSpec* adapter = nullptr;  ///< Null for a base model.
};

/// The accepted configuration.
struct Estate {
  std::uint64_t version = 0;
  std::map<std::string, PoolSpec, std::less<>> pools;
  std::map<std::string, ModelSpec, std::less<>> models;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, ClientSpec, std::less<>> clients;
  std::map<std::string, PrecedenceClass, std::less<>> classes;
  WeightStoreLimits weight_store;
  std::map<std::string, OperatorGrant, std::less<>> operators;

  /// Resolves "MODEL" or "MODEL:ADAPTER"; empty if it is not offered.
  std::optional<ResolvedModel> Resolve(std::string_view name) const;

  /// The caller with this key, compared in constant time; null if none.
  const ClientSpec* FindClient(std::string_view key) const;

  /// The replica limit of a key; 0 if it is not offered in that version.
  std::uint32_t ReplicaLimit(const ModelKey& key) const;

  /// The memory that a replica of a key needs; 0 if it is not offered.
  std::uint64_t MemoryMb(const ModelKey& key) const;

  /// Whether `token` is the operator's token; takes the same time for each
  /// wrong token.
  bool IsOperatorToken(std::string_view operator_name,
                       std::string_view token) const;
};

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_H_
