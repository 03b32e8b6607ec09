#include "decision/record_operations.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "base/id.h"
#include "base/invariant.h"

namespace tanagerloom {

namespace {

// Number of write ids that a record keeps. A writer whose response was lost
// reads the record back and looks for its write id, which it finds if fewer
// than 32 other writes came in between.
constexpr std::size_t kMaxWriteIds = 32;

Error MakeRefusal(std::string_view engine,
                  const ModelKey& key,
                  std::string what) {
  return MakeError(
      ErrorKind::kInvalid,
      key.ToString() + " on " + std::string(engine) + ": " + std::move(what));
}

EngineRecord* FindEngine(CellRecord& record, std::string_view engine) {
  const auto it = record.engines.find(engine);
  return it == record.engines.end() ? nullptr : &it->second;
}

ReplicaRecord* FindReplica(CellRecord& record,
                           std::string_view engine,
                           const ModelKey& key) {
  auto* found = FindEngine(record, engine);
  return found == nullptr ? nullptr : found->Find(key);
}

bool HasAdapterOf(const EngineRecord& engine, const ModelKey& base) {
  return std::ranges::any_of(engine.replicas, [&](const auto& it) {
    return !it.key.adapter.empty() && it.key.Base() == base;
  });
}

bool HasAdapterInUse(const EngineRecord& engine, const ModelKey& base) {
  return std::ranges::any_of(engine.replicas, [&](const auto& it) {
    return !it.key.adapter.empty() && it.key.Base() == base &&
           it.state != ReplicaState::kUnloading;
  });
}

bool HasUsableBase(const EngineRecord& engine, const ReplicaRecord& adapter) {
  const auto* base = engine.Find(adapter.key.Base());
  return base != nullptr && (base->state != ReplicaState::kUnloading ||
                             adapter.state == ReplicaState::kUnloading);
}

void AddSender(ReplicaRecord& replica, std::string_view process) {
  if (std::ranges::find(replica.senders, process) == replica.senders.end()) {
    replica.senders.emplace_back(process);
  }
}

// Earlier senders stay listed, because their orders may still arrive.
void StartUnload(EngineRecord& engine,
                 ReplicaRecord& replica,
                 const Decider& decider) {
  replica.state = ReplicaState::kUnloading;
  replica.fence = ++engine.fence;
  replica.order = NewId("ord-");
  replica.executor = decider.process;
  replica.decided_ms = decider.now_ms;
  AddSender(replica, decider.process);
}

std::string LoadRefusalCause(const CellRecord& record,
                             const LoadDecision& decision) {
  const auto it = record.engines.find(decision.engine);
  if (it == record.engines.end()) {
    return "the engine is unknown";
  }
  const auto& engine = it->second;
  if (engine.leaving) {
    return "the engine is leaving";
  }
  if (engine.Find(decision.key) != nullptr) {
    return "the engine already has it";
  }
  if (decision.memory_mb > engine.FreeMb()) {
    return "needs " + std::to_string(decision.memory_mb) +
           " MB, available MB: " + std::to_string(engine.FreeMb());
  }
  if (record.CountReplicas(decision.key) >= decision.replica_limit) {
    return "the replica limit of " + std::to_string(decision.replica_limit) +
           " is reached";
  }
  if (!decision.key.adapter.empty()) {
    const auto* base = engine.Find(decision.key.Base());
    if (base == nullptr || base->state == ReplicaState::kUnloading) {
      return "the base model is missing";
    }
  }
  return "";
}

void CheckEngine(const std::string& id, const EngineRecord& engine) {
  CheckInvariantLazy(engine.ReservedMb() <= engine.memory_mb,
                     "reserved_memory_within_capacity", [&] {
                       return nlohmann::json{
                           {"server", id},
                           {"reserved_mb", engine.ReservedMb()},
                           {"memory_mb", engine.memory_mb}};
                     });
  std::set<ModelKey> keys;
  for (const auto& it : engine.replicas) {
    CheckInvariantLazy(
        keys.insert(it.key).second, "one_replica_of_a_key_per_server", [&] {
          return nlohmann::json{{"server", id}, {"model", it.key.ToString()}};
        });
  }
  for (const auto& it : engine.replicas) {
    CheckInvariantLazy(
        it.key.adapter.empty() || HasUsableBase(engine, it),
        "adapter_has_its_base", [&] {
          return nlohmann::json{{"server", id}, {"model", it.key.ToString()}};
        });
  }
}

std::map<ModelKey, std::uint32_t> CountReplicasByKey(const CellRecord& record) {
  std::map<ModelKey, std::uint32_t> counts;
  for (const auto& [id, engine] : record.engines) {
    for (const auto& it : engine.replicas) {
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
  if (auto cause = LoadRefusalCause(record, decision); !cause.empty()) {
    return MakeRefusal(decision.engine, decision.key, std::move(cause));
  }
  auto& engine = record.engines.find(decision.engine)->second;
  engine.replicas.push_back(
      {.key = decision.key,
       .memory_mb = decision.memory_mb,
       .state = ReplicaState::kLoading,
       .fence = ++engine.fence,
       .order = decision.order.empty() ? NewId("ord-") : decision.order,
       .executor = decider.process,
       .senders = {decider.process},
       .source = decision.source,
       .decided_ms = decider.now_ms,
       .reason = decision.reason});
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> DecideUnload(CellRecord& record,
                          std::string_view engine_id,
                          const ModelKey& key,
                          const Decider& decider) {
  auto* replica = FindReplica(record, engine_id, key);
  if (replica == nullptr) {
    return MakeRefusal(engine_id, key, "no such replica");
  }
  if (replica->state == ReplicaState::kUnloading) {
    return MakeRefusal(engine_id, key, "the replica is already unloading");
  }
  auto& engine = *FindEngine(record, engine_id);
  if (key.adapter.empty() && HasAdapterInUse(engine, key)) {
    return MakeRefusal(engine_id, key, "adapters on the engine need it");
  }
  StartUnload(engine, *replica, decider);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> RenewUnload(CellRecord& record,
                         std::string_view engine_id,
                         const ModelKey& key,
                         const Decider& decider) {
  auto* replica = FindReplica(record, engine_id, key);
  if (replica == nullptr || replica->state != ReplicaState::kUnloading) {
    return MakeRefusal(engine_id, key, "the replica is not unloading");
  }
  StartUnload(*FindEngine(record, engine_id), *replica, decider);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> MarkLoaded(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order) {
  auto* replica = FindReplica(record, engine, key);
  if (replica == nullptr || replica->order != order ||
      replica->state != ReplicaState::kLoading) {
    return MakeRefusal(engine, key, "no load with this order is in flight");
  }
  replica->state = ReplicaState::kLoaded;
  record.failures.erase(key);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> AdoptOrder(CellRecord& record,
                        std::string_view engine,
                        const ModelKey& key,
                        std::string_view order,
                        std::string_view process) {
  auto* replica = FindReplica(record, engine, key);
  if (replica == nullptr || replica->order != order ||
      replica->state == ReplicaState::kLoaded) {
    return MakeRefusal(engine, key, "no order with this id is open");
  }
  replica->executor = std::string(process);
  AddSender(*replica, process);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RemoveDoneSenders(CellRecord& record, const SenderDone& is_done) {
  for (auto& [id, engine] : record.engines) {
    for (auto& replica : engine.replicas) {
      const auto before = replica;
      std::erase_if(replica.senders, [&, engine_id = id](const auto& process) {
        return is_done(engine_id, before, process);
      });
    }
  }
}

Result<void> RemoveReplica(CellRecord& record,
                           std::string_view engine_id,
                           const ModelKey& key) {
  if (FindReplica(record, engine_id, key) == nullptr) {
    return MakeRefusal(engine_id, key, "no such replica");
  }
  auto& engine = *FindEngine(record, engine_id);
  if (key.adapter.empty() && HasAdapterOf(engine, key)) {
    return MakeRefusal(engine_id, key, "adapters on the engine need it");
  }
  std::erase_if(engine.replicas, [&](const auto& it) { return it.key == key; });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool UpdateEngine(CellRecord& record,
                  std::string_view engine_id,
                  const EngineProperties& report) {
  auto& engine = record.engines[std::string(engine_id)];
  const auto before = engine;
  engine.boot = report.boot;
  engine.leaving = report.leaving;
  engine.memory_mb = std::max(report.memory_mb, engine.ReservedMb());
  engine.fence = std::max(engine.fence, report.highest_fence);
  return engine != before;
}

Result<void> AddFoundReplica(CellRecord& record,
                             const LoadDecision& found,
                             const Decider& decider) {
  BOOST_OUTCOME_TRYV(DecideLoad(record, found, decider));
  auto* replica = FindReplica(record, found.engine, found.key);
  replica->state = ReplicaState::kLoaded;
  replica->senders.clear();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void RecordLoadFailure(CellRecord& record,
                       const std::string& engine,
                       const ModelKey& key,
                       std::string cause,
                       std::uint64_t wall_ms) {
  record.failures[key].Add(engine, std::move(cause), wall_ms);
}

bool RemoveEngineIfEmpty(CellRecord& record, std::string_view engine) {
  const auto it = record.engines.find(engine);
  if (it == record.engines.end() || !it->second.replicas.empty()) {
    return false;
  }
  record.engines.erase(it);
  return true;
}

void StampWrite(CellRecord& record, std::string_view write_id) {
  ++record.sequence;
  record.writes.emplace_back(write_id);
  if (record.writes.size() > kMaxWriteIds) {
    record.writes.erase(record.writes.begin(),
                        record.writes.end() - kMaxWriteIds);
  }
}

void CheckRecord(const CellRecord& previous,
                 const CellRecord& next,
                 const Estate& estate) {
  for (const auto& [id, engine] : next.engines) {
    CheckEngine(id, engine);
  }
  const auto before = CountReplicasByKey(previous);
  for (const auto& [key, count] : CountReplicasByKey(next)) {
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
