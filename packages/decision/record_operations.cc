#include "decision/record_operations.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "base/id.h"
#include "base/invariant.h"

namespace tanagerloom {

namespace {

// A lost answer is resolved by finding the write id in the record read back.
// 32 later writes fit between the write and the reading.
constexpr std::size_t kKeptWrites = 32;

Error Refusal(std::string_view server, const ModelKey& key, std::string what) {
  return MakeError(
      ErrorKind::kInvalid,
      key.ToString() + " on " + std::string(server) + ": " + std::move(what));
}

ServerRecord* FindServer(CellRecord& record, std::string_view server) {
  const auto it = record.servers.find(server);
  return it == record.servers.end() ? nullptr : &it->second;
}

ReplicaRecord* FindReplica(CellRecord& record,
                           std::string_view server,
                           const ModelKey& key) {
  auto* found = FindServer(record, server);
  return found == nullptr ? nullptr : found->Find(key);
}

bool HasAdapterOf(const ServerRecord& server, const ModelKey& base) {
  return std::ranges::any_of(server.replicas, [&](const auto& it) {
    return !it.key.adapter.empty() && it.key.Base() == base;
  });
}

bool HasAdapterInUse(const ServerRecord& server, const ModelKey& base) {
  return std::ranges::any_of(server.replicas, [&](const auto& it) {
    return !it.key.adapter.empty() && it.key.Base() == base &&
           it.state != ReplicaState::kUnloading;
  });
}

bool HasUsableBase(const ServerRecord& server, const ReplicaRecord& adapter) {
  const auto* base = server.Find(adapter.key.Base());
  return base != nullptr && (base->state != ReplicaState::kUnloading ||
                             adapter.state == ReplicaState::kUnloading);
}

void AddSender(ReplicaRecord& replica, std::string_view process) {
  if (std::ranges::find(replica.senders, process) == replica.senders.end()) {
    replica.senders.emplace_back(process);
  }
}

// Earlier senders stay listed: their orders may still arrive.
void StartUnload(ServerRecord& server,
                 ReplicaRecord& replica,
                 const Decider& decider) {
  replica.state = ReplicaState::kUnloading;
  replica.fence = ++server.fence;
  replica.order = NewId("ord-");
  replica.executor = decider.process;
  replica.decided_ms = decider.now_ms;
  AddSender(replica, decider.process);
}

std::string LoadRefusal(const CellRecord& record,
                        const LoadDecision& decision) {
  const auto it = record.servers.find(decision.server);
  if (it == record.servers.end()) {
    return "the server is unknown";
  }
  const auto& server = it->second;
  if (server.leaving) {
    return "the server is leaving";
  }
  if (server.Find(decision.key) != nullptr) {
    return "the server already holds it";
  }
  if (decision.memory_mb > server.FreeMb()) {
    return "needs " + std::to_string(decision.memory_mb) + " MB, free are " +
           std::to_string(server.FreeMb());
  }
  if (record.CountReplicas(decision.key) >= decision.replica_limit) {
    return "the replica limit " + std::to_string(decision.replica_limit) +
           " is reached";
  }
  if (!decision.key.adapter.empty()) {
    const auto* base = server.Find(decision.key.Base());
    if (base == nullptr || base->state == ReplicaState::kUnloading) {
      return "the base model is missing";
    }
  }
  return "";
}

void CheckServer(const std::string& id, const ServerRecord& server) {
  CheckInvariantLazy(server.ReservedMb() <= server.memory_mb,
                     "reserved_memory_within_capacity", [&] {
                       return nlohmann::json{
                           {"server", id},
                           {"reserved_mb", server.ReservedMb()},
                           {"memory_mb", server.memory_mb}};
                     });
  std::set<ModelKey> keys;
  for (const auto& it : server.replicas) {
    CheckInvariantLazy(
        keys.insert(it.key).second, "one_replica_of_a_key_per_server", [&] {
          return nlohmann::json{{"server", id}, {"model", it.key.ToString()}};
        });
  }
  for (const auto& it : server.replicas) {
    CheckInvariantLazy(
        it.key.adapter.empty() || HasUsableBase(server, it),
        "adapter_has_its_base", [&] {
          return nlohmann::json{{"server", id}, {"model", it.key.ToString()}};
        });
  }
}

std::map<ModelKey, std::uint32_t> CountAll(const CellRecord& record) {
  std::map<ModelKey, std::uint32_t> counts;
  for (const auto& [id, server] : record.servers) {
    for (const auto& it : server.replicas) {
      ++counts[it.key];
    }
  }
  return counts;
}

}  // namespace

ReplicaAllowance AllowanceOf(const Estate& estate, const ModelKey& key) {
  const auto it = estate.models.find(key.model);
  if (it == estate.models.end() || it->second.version != key.version) {
    return {};
  }
  if (key.adapter.empty()) {
    return {it->second.memory_mb, it->second.replica_limit};
  }
  const auto adapter = it->second.adapters.find(key.adapter);
  if (adapter == it->second.adapters.end()) {
    return {};
  }
  return {adapter->second.memory_mb, adapter->second.replica_limit};
}

Result<void> DecideLoad(CellRecord& record,
                        const LoadDecision& decision,
                        const Decider& decider) {
  if (auto cause = LoadRefusal(record, decision); !cause.empty()) {
    return Refusal(decision.server, decision.key, std::move(cause));
  }
  auto& server = record.servers.find(decision.server)->second;
  server.replicas.push_back(
      {.key = decision.key,
       .memory_mb = decision.memory_mb,
       .state = ReplicaState::kLoading,
       .fence = ++server.fence,
       .order = decision.order.empty() ? NewId("ord-") : decision.order,
       .executor = decider.process,
       .senders = {decider.process},
       .source = decision.source,
       .decided_ms = decider.now_ms,
       .reason = decision.reason});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> DecideUnload(CellRecord& record,
                          std::string_view server_id,
                          const ModelKey& key,
                          const Decider& decider) {
  auto* replica = FindReplica(record, server_id, key);
  if (replica == nullptr) {
    return Refusal(server_id, key, "there is no such replica");
  }
  if (replica->state == ReplicaState::kUnloading) {
    return Refusal(server_id, key, "it is being unloaded");
  }
  auto& server = *FindServer(record, server_id);
  if (key.adapter.empty() && HasAdapterInUse(server, key)) {
    return Refusal(server_id, key, "adapters on the server need it");
  }
  StartUnload(server, *replica, decider);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RenewUnload(CellRecord& record,
                         std::string_view server_id,
                         const ModelKey& key,
                         const Decider& decider) {
  auto* replica = FindReplica(record, server_id, key);
  if (replica == nullptr || replica->state != ReplicaState::kUnloading) {
    return Refusal(server_id, key, "it is not being unloaded");
  }
  StartUnload(*FindServer(record, server_id), *replica, decider);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> MarkLoaded(CellRecord& record,
                        std::string_view server,
                        const ModelKey& key,
                        std::string_view order) {
  auto* replica = FindReplica(record, server, key);
  if (replica == nullptr || replica->order != order ||
      replica->state != ReplicaState::kLoading) {
    return Refusal(server, key, "no load with this order is in progress");
  }
  replica->state = ReplicaState::kLoaded;
  record.failures.erase(key);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> AdoptOrder(CellRecord& record,
                        std::string_view server,
                        const ModelKey& key,
                        std::string_view order,
                        std::string_view process) {
  auto* replica = FindReplica(record, server, key);
  if (replica == nullptr || replica->order != order ||
      replica->state == ReplicaState::kLoaded) {
    return Refusal(server, key, "no order with this id is in progress");
  }
  replica->executor = std::string(process);
  AddSender(*replica, process);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RemoveDoneSenders(CellRecord& record, const SenderDone& is_done) {
  for (auto& [id, server] : record.servers) {
    for (auto& replica : server.replicas) {
      const auto before = replica;
      std::erase_if(replica.senders, [&, server_id = id](const auto& process) {
        return is_done(server_id, before, process);
      });
    }
  }
}

Result<void> RemoveReplica(CellRecord& record,
                           std::string_view server_id,
                           const ModelKey& key) {
  if (FindReplica(record, server_id, key) == nullptr) {
    return Refusal(server_id, key, "there is no such replica");
  }
  auto& server = *FindServer(record, server_id);
  if (key.adapter.empty() && HasAdapterOf(server, key)) {
    return Refusal(server_id, key, "adapters on the server need it");
  }
  std::erase_if(server.replicas, [&](const auto& it) { return it.key == key; });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool UpdateServer(CellRecord& record,
                  std::string_view server_id,
                  const ServerReport& report) {
  auto& server = record.servers[std::string(server_id)];
  const auto before = server;
  server.boot = report.boot;
  server.leaving = report.leaving;
  server.memory_mb = std::max(report.memory_mb, server.ReservedMb());
  server.fence = std::max(server.fence, report.highest_fence);
  return server != before;
}

Result<void> AddFoundReplica(CellRecord& record,
                             const LoadDecision& found,
                             const Decider& decider) {
  BOOST_OUTCOME_TRYV(DecideLoad(record, found, decider));
  auto* replica = FindReplica(record, found.server, found.key);
  replica->state = ReplicaState::kLoaded;
  replica->senders.clear();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void NoteLoadFailure(CellRecord& record,
                     const std::string& server,
                     const ModelKey& key,
                     std::string cause,
                     std::uint64_t wall_ms) {
  record.failures[key].Add(server, std::move(cause), wall_ms);
}

bool RemoveEmptyServer(CellRecord& record, std::string_view server) {
  const auto it = record.servers.find(server);
  if (it == record.servers.end() || !it->second.replicas.empty()) {
    return false;
  }
  record.servers.erase(it);
  return true;
}

void StampWrite(CellRecord& record, std::string_view write_id) {
  ++record.sequence;
  record.writes.emplace_back(write_id);
  if (record.writes.size() > kKeptWrites) {
    record.writes.erase(record.writes.begin(),
                        record.writes.end() - kKeptWrites);
  }
}

void CheckRecord(const CellRecord& previous,
                 const CellRecord& next,
                 const Estate& estate) {
  for (const auto& [id, server] : next.servers) {
    CheckServer(id, server);
  }
  const auto before = CountAll(previous);
  for (const auto& [key, count] : CountAll(next)) {
    const auto it = before.find(key);
    const auto earlier = it == before.end() ? 0 : it->second;
    const auto limit = AllowanceOf(estate, key).replica_limit;
    CheckInvariantLazy(count <= std::max(limit, earlier),
                       "replicas_within_limit", [&, key = key, count = count] {
                         return nlohmann::json{{"model", key.ToString()},
                                               {"replicas", count},
                                               {"limit", limit},
                                               {"before", earlier}};
                       });
  }
}

}  // namespace tanagerloom
