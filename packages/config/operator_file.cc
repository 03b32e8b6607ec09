#include "config/operator_file.h"

#include <algorithm>
#include <array>

#include "config/json_text.h"
#include "config/object_reader.h"

namespace tanagerloom {

namespace {

constexpr std::uint64_t kMaxMemoryMb = 100ULL * 1000 * 1000;
constexpr std::uint32_t kMaxReplicas = 100000;
constexpr std::uint64_t kHourMs = 3600ULL * 1000;
constexpr std::uint64_t kDayMs = 24 * kHourMs;
constexpr double kMaxCost = 1e9;
constexpr std::array<std::string_view, 3> kAllowedSources = {"memory", "disk",
                                                             "remote"};
constexpr std::size_t kRedactedPrefixBytes = 8;

void ReadSources(ObjectReader& reader, std::vector<std::string>& out) {
  reader.Strings("sources", out, Presence::kOptional);
  for (const auto& it : out) {
    if (std::find(kAllowedSources.begin(), kAllowedSources.end(), it) ==
        kAllowedSources.end()) {
      reader.Problem("sources", "value " + FormatValue(it) +
                                    "; allowed: memory, disk, remote");
    }
  }
  if (out.empty()) {
    reader.Problem("sources", "must name at least one source");
  }
}

AdapterSpec ReadAdapter(const ModelSpec& model,
                        const std::string& name,
                        ObjectReader& reader) {
  AdapterSpec out;
  out.name = name;
  out.operator_name = model.operator_name;
  reader.Unsigned("memory_mb", out.memory_mb, 1, kMaxMemoryMb,
                  Presence::kRequired);
  reader.Unsigned("replica_limit", out.replica_limit, 1, kMaxReplicas);
  if (out.replica_limit > model.replica_limit) {
    // A replica of an adapter needs a replica of its model on the same engine.
    reader.Problem("replica_limit",
                   "value " + std::to_string(out.replica_limit) +
                       "; allowed: at most the model's replica_limit, " +
                       std::to_string(model.replica_limit));
  }
  return out;
}

ModelSpec ReadModel(const std::string& operator_name,
                    const std::string& name,
                    ObjectReader& reader) {
  ModelSpec out;
  out.name = name;
  out.operator_name = operator_name;
  reader.Name("version", out.version, Presence::kRequired);
  reader.Name("pool", out.pool, Presence::kRequired);
  reader.Unsigned("memory_mb", out.memory_mb, 1, kMaxMemoryMb,
                  Presence::kRequired);
  reader.Unsigned("replica_limit", out.replica_limit, 1, kMaxReplicas);
  reader.Milliseconds("expected_load_ms", out.expected_load, 1, kHourMs);
  ReadSources(reader, out.sources);
  reader.Map("adapters", [&](const std::string& adapter, ObjectReader& item) {
    out.adapters.emplace(adapter, ReadAdapter(out, adapter, item));
  });
  return out;
}

ServiceRule ReadRule(ObjectReader& reader) {
  ServiceRule out{"*", "/", false};
  reader.String("method", out.method, Presence::kOptional);
  if (out.method != "*" &&
      !std::all_of(out.method.begin(), out.method.end(),
                   [](char c) { return c >= 'A' && c <= 'Z'; })) {
    reader.Problem("method", "value " + FormatValue(out.method) +
                                 "; allowed: an upper-case HTTP method or "
                                 "\"*\"");
  }
  reader.String("path_prefix", out.path_prefix, Presence::kOptional);
  if (out.path_prefix.front() != '/') {
    reader.Problem("path_prefix", "value " + FormatValue(out.path_prefix) +
                                      "; allowed: a path that starts with /");
  }
  reader.Bool("repeatable", out.retryable);
  return out;
}

ServiceSpec ReadService(const std::string& operator_name,
                        const std::string& name,
                        ObjectReader& reader) {
  ServiceSpec out;
  out.name = name;
  out.operator_name = operator_name;
  reader.Name("pool", out.pool, Presence::kRequired);
  reader.Unsigned("max_in_progress", out.max_in_flight, 1, 100000);
  reader.List("rules",
              [&](ObjectReader& item) { out.rules.push_back(ReadRule(item)); });
  return out;
}

ClientSpec ReadClient(const std::string& operator_name,
                      const std::string& name,
                      ObjectReader& reader) {
  ClientSpec out;
  out.name = name;
  out.operator_name = operator_name;
  reader.Sha256("key_sha256", out.key_sha256, Presence::kRequired);
  reader.Strings("classes", out.classes, Presence::kRequired);
  return out;
}

PoolSpec ReadPool(const std::string& name, ObjectReader& reader) {
  PoolSpec out;
  out.name = name;
  reader.Bool("checks_fence", out.checks_fence);
  reader.Number("cold_start_cost_per_s", out.cold_start_cost_per_s, 0,
                kMaxCost);
  reader.Number("idle_cost_per_hour", out.idle_cost_per_hour, 0, kMaxCost);
  reader.Unsigned("servers", out.engine_count, 1, 10000);
  reader.Unsigned("server_memory_mb", out.engine_memory_mb, 1, kMaxMemoryMb);
  return out;
}

PrecedenceClass ReadClass(const std::string& name, ObjectReader& reader) {
  PrecedenceClass out;
  out.name = name;
  reader.Unsigned("rank", out.rank, 0, 1000, Presence::kRequired);
  reader.Milliseconds("default_deadline_ms", out.default_deadline, 1, kDayMs);
  reader.Bool("may_wait", out.may_wait);
  return out;
}

OperatorGrant ReadGrant(const std::string& name, ObjectReader& reader) {
  OperatorGrant out;
  out.name = name;
  reader.String("token_salt", out.token_salt, Presence::kRequired,
                Privacy::kSecret);
  reader.Sha256("token_sha256", out.token_sha256, Presence::kRequired);
  reader.Strings("classes", out.classes, Presence::kOptional);
  reader.Strings("pools", out.pools, Presence::kOptional);
  constexpr std::uint64_t kUnset = ~0ULL;
  std::uint64_t memory_mb = kUnset;
  std::uint64_t replicas = kUnset;
  reader.Unsigned("reserved_memory_mb", memory_mb, 0, kMaxMemoryMb * 1000);
  reader.Unsigned("replicas", replicas, 0, std::uint64_t{1000} * kMaxReplicas);
  if (memory_mb != kUnset) {
    out.reserved_memory_mb = memory_mb;
  }
  if (replicas != kUnset) {
    out.replicas = replicas;
  }
  return out;
}

void ReadWeightStore(ObjectReader& reader, WeightStoreLimits& out) {
  reader.Unsigned("concurrent_loads", out.concurrent_loads, 1, 100000);
  reader.Number("loads_per_s", out.loads_per_s, 0.01, 100000);
  reader.Unsigned("concurrent_adapter_loads", out.concurrent_adapter_loads, 1,
                  100000);
}

template <typename Map>
void CheckAreDefined(ObjectReader& reader,
                     const std::vector<std::string>& names,
                     const Map& defined,
                     const std::string& key,
                     std::string_view kind) {
  for (const auto& it : names) {
    if (!defined.contains(it)) {
      reader.Problem(key, "value " + FormatValue(it) + "; allowed: a " +
                              std::string(kind) + " of this file");
    }
  }
}

void ReadEstateFile(ObjectReader& reader, OperatorFile& out) {
  reader.Map("pools", [&](const std::string& name, ObjectReader& item) {
    out.pools.emplace(name, ReadPool(name, item));
  });
  reader.Map("classes", [&](const std::string& name, ObjectReader& item) {
    out.classes.emplace(name, ReadClass(name, item));
  });
  reader.Object("weight_store", Presence::kOptional, [&](ObjectReader& item) {
    ReadWeightStore(item, out.weight_store);
  });
  reader.Map("operators", [&](const std::string& name, ObjectReader& item) {
    const auto& grant =
        out.operators.emplace(name, ReadGrant(name, item)).first->second;
    CheckAreDefined(item, grant.classes, out.classes, "classes", "class");
    CheckAreDefined(item, grant.pools, out.pools, "pools", "pool");
  });
  if (!out.operators.contains(kEstateOperator)) {
    // Without this operator, no token could ever change the estate file again.
    reader.Problem("operators", "must list the operator \"estate\"");
  }
}

void ReadOperatorFile(ObjectReader& reader, OperatorFile& out) {
  const auto& owner = out.operator_name;
  reader.Map("models", [&](const std::string& name, ObjectReader& item) {
    out.models.emplace(name, ReadModel(owner, name, item));
  });
  reader.Map("services", [&](const std::string& name, ObjectReader& item) {
    out.services.emplace(name, ReadService(owner, name, item));
  });
  reader.Map("callers", [&](const std::string& name, ObjectReader& item) {
    out.clients.emplace(name, ReadClient(owner, name, item));
  });
}

}  // namespace

OperatorFileOutcome ParseOperatorFile(std::string_view text) {
  OperatorFileOutcome out;
  const auto value = ParseJsonText(text, out.problems);
  if (value.is_null() && !out.problems.empty()) {
    return out;
  }
  ObjectReader reader(value, "", out.problems);
  reader.Name("operator", out.file.operator_name, Presence::kRequired);
  if (out.file.is_estate()) {
    ReadEstateFile(reader, out.file);
  } else {
    ReadOperatorFile(reader, out.file);
  }
  reader.Finish();
  return out;
}

void RedactDigests(nlohmann::json& value) {
  if (!value.is_structured()) {
    return;
  }
  for (auto it = value.begin(); it != value.end(); ++it) {
    const bool digest =
        value.is_object() && it->is_string() &&
        (it.key() == "key_sha256" || it.key() == "token_sha256" ||
         it.key() == "token_salt");
    if (digest) {
      *it = it->get_ref<const std::string&>().substr(0, kRedactedPrefixBytes) +
            "...";
    } else {
      RedactDigests(*it);
    }
  }
}

}  // namespace tanagerloom
