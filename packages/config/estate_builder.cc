#include "config/estate_builder.h"

#include <algorithm>

namespace tanagerloom {

namespace {

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

std::string Quoted(const std::string& text) {
  return "\"" + text + "\"";
}

/// Adds files to an estate one by one and checks the rules between them.
class EstateBuilder {
 public:
  explicit EstateBuilder(EstateOutcome& out) : out_(out) {}

  void AddEstateFile(const OperatorFile& file) {
    out_.estate.pools = file.pools;
    out_.estate.classes = file.classes;
    out_.estate.operators = file.operators;
    out_.estate.weight_store = file.weight_store;
  }

  void AddOperatorFile(const OperatorFile& file) {
    const auto grant = out_.estate.operators.find(file.operator_name);
    if (grant == out_.estate.operators.end()) {
      Problem(file, "/operator",
              "value " + Quoted(file.operator_name) +
                  "; allowed: an operator listed in the estate file");
      return;
    }
    Merge(file, "models", file.models, out_.estate.models);
    Merge(file, "services", file.services, out_.estate.services);
    Merge(file, "callers", file.clients, out_.estate.clients);
    for (const auto& it : file.models) {
      CheckPool(file, grant->second, "/models/" + it.first, it.second.pool);
      CheckMemory(file, it.second);
    }
    for (const auto& it : file.services) {
      CheckPool(file, grant->second, "/services/" + it.first, it.second.pool);
    }
    for (const auto& it : file.clients) {
      CheckClient(file, grant->second, it.second);
    }
    CheckGrantTotals(file, grant->second);
  }

 private:
  void Problem(const OperatorFile& file, std::string path, std::string what) {
    out_.problems.push_back(
        {file.operator_name + ":" + std::move(path), std::move(what)});
  }

  template <typename Map>
  void Merge(const OperatorFile& file,
             const std::string& kind,
             const Map& from,
             Map& into) {
    for (const auto& it : from) {
      const auto added = into.insert(it);
      if (!added.second) {
        Problem(file, "/" + kind + "/" + it.first,
                "the name " + Quoted(it.first) +
                    " is also claimed by operator " +
                    Quoted(added.first->second.operator_name));
      }
    }
  }

  void CheckPool(const OperatorFile& file,
                 const OperatorGrant& grant,
                 const std::string& path,
                 const std::string& pool) {
    if (!out_.estate.pools.contains(pool)) {
      Problem(file, path + "/pool",
              "value " + Quoted(pool) + "; allowed: a pool of the estate file");
    } else if (!Contains(grant.pools, pool)) {
      Problem(file, path + "/pool",
              "pool " + Quoted(pool) + " is not granted to operator " +
                  Quoted(file.operator_name));
    }
  }

  void CheckMemory(const OperatorFile& file, const ModelSpec& model) {
    const auto pool = out_.estate.pools.find(model.pool);
    if (pool == out_.estate.pools.end() || pool->second.engine_memory_mb == 0) {
      return;
    }
    const auto limit_mb = pool->second.engine_memory_mb;
    const auto path = "/models/" + model.name;
    std::uint64_t largest_mb = 0;
    for (const auto& it : model.adapters) {
      largest_mb = std::max(largest_mb, it.second.memory_mb);
    }
    if (model.memory_mb + largest_mb > limit_mb) {
      Problem(file, path + "/memory_mb",
              "value " + std::to_string(model.memory_mb) + " MB plus " +
                  std::to_string(largest_mb) +
                  " MB for the largest adapter; allowed: at most " +
                  std::to_string(limit_mb) +
                  " MB in sum, the server_memory_mb of the pool");
    }
    const auto total_mb = model.replica_limit * model.memory_mb;
    const auto pool_mb = pool->second.engine_count * limit_mb;
    if (pool_mb != 0 && total_mb > pool_mb) {
      Problem(file, path + "/replica_limit",
              "value " + std::to_string(model.replica_limit) + " needs " +
                  std::to_string(total_mb) + " MB; allowed: at most " +
                  std::to_string(pool_mb) +
                  " MB, the memory of all servers of pool " +
                  Quoted(model.pool));
    }
  }

  void CheckClient(const OperatorFile& file,
                   const OperatorGrant& grant,
                   const ClientSpec& client) {
    const auto path = "/callers/" + client.name;
    for (const auto& it : client.classes) {
      if (!out_.estate.classes.contains(it)) {
        Problem(
            file, path + "/classes",
            "value " + Quoted(it) + "; allowed: a class of the estate file");
      } else if (!Contains(grant.classes, it)) {
        Problem(file, path + "/classes",
                "class " + Quoted(it) + " is not granted to operator " +
                    Quoted(file.operator_name));
      }
    }
    const auto owner = key_owners_.emplace(client.key_sha256, client.name);
    if (!owner.second) {
      Problem(file, path + "/key_sha256",
              "the same key is used by caller " + Quoted(owner.first->second));
    }
  }

  void CheckGrantTotals(const OperatorFile& file, const OperatorGrant& grant) {
    std::uint64_t memory_mb = 0;
    std::uint64_t replicas = 0;
    for (const auto& model : file.models) {
      memory_mb += model.second.replica_limit * model.second.memory_mb;
      replicas += model.second.replica_limit;
      for (const auto& it : model.second.adapters) {
        memory_mb += it.second.replica_limit * it.second.memory_mb;
        replicas += it.second.replica_limit;
      }
    }
    CheckGrantTotal(file, "MB of reserved memory", memory_mb,
                    grant.reserved_memory_mb);
    CheckGrantTotal(file, "replicas", replicas, grant.replicas);
  }

  void CheckGrantTotal(const OperatorFile& file,
                       const std::string& what,
                       std::uint64_t sum,
                       const std::optional<std::uint64_t>& granted) {
    if (granted && sum > *granted) {
      Problem(file, "/models",
              "the replica limits of the file add up to " +
                  std::to_string(sum) + " " + what + "; granted to operator " +
                  Quoted(file.operator_name) + ": " + std::to_string(*granted));
    }
  }

  EstateOutcome& out_;
  std::map<std::string, std::string> key_owners_;
};

}  // namespace

EstateOutcome BuildEstate(std::uint64_t version,
                          std::span<const OperatorFile* const> files) {
  EstateOutcome out;
  out.estate.version = version;
  EstateBuilder builder(out);
  const auto shared =
      std::find_if(files.begin(), files.end(),
                   [](const auto* it) { return it->is_estate(); });
  if (shared == files.end()) {
    out.problems.push_back(
        {"/operator", "the estate file must be applied first"});
    return out;
  }
  builder.AddEstateFile(**shared);
  for (const auto* it : files) {
    if (!it->is_estate() && !it->empty()) {
      builder.AddOperatorFile(*it);
    }
  }
  return out;
}

}  // namespace tanagerloom
