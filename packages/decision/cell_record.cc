#include "decision/cell_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

ReplicaState ParseState(std::string_view name) {
  if (name == "loaded") {
    return ReplicaState::kLoaded;
  }
  return name == "unloading" ? ReplicaState::kUnloading
                             : ReplicaState::kLoading;
}

WeightSource ParseSource(std::string_view name) {
  if (name == "memory") {
    return WeightSource::kMemory;
  }
  return name == "disk" ? WeightSource::kDisk : WeightSource::kRemote;
}

DecisionReason ParseReason(std::string_view name) {
  if (name == "prewarm") {
    return DecisionReason::kPrewarm;
  }
  return name == "standby" ? DecisionReason::kStandby : DecisionReason::kDemand;
}

nlohmann::json ReplicaToJson(const ReplicaRecord& replica) {
  return {{"model", replica.key.model},
          {"version", replica.key.version},
          {"adapter", replica.key.adapter},
          {"memory_mb", replica.memory_mb},
          {"state", ReplicaStateName(replica.state)},
          {"fence", replica.fence},
          {"order", replica.order},
          {"executor", replica.executor},
          {"senders", replica.senders},
          {"source", WeightSourceName(replica.source)},
          {"decided_ms", replica.decided_ms},
          {"reason", DecisionReasonName(replica.reason)}};
}

ReplicaRecord ParseReplica(const nlohmann::json& json) {
  ReplicaRecord replica;
  replica.key = {json.at("model").get<std::string>(),
                 json.at("version").get<std::string>(),
                 json.at("adapter").get<std::string>()};
  replica.memory_mb = json.at("memory_mb").get<std::uint64_t>();
  replica.state = ParseState(json.at("state").get<std::string>());
  replica.fence = json.at("fence").get<std::uint64_t>();
  replica.order = json.at("order").get<std::string>();
  replica.executor = json.at("executor").get<std::string>();
  replica.senders = json.at("senders").get<std::vector<std::string>>();
  replica.source = ParseSource(json.at("source").get<std::string>());
  replica.decided_ms = json.at("decided_ms").get<std::uint64_t>();
  replica.reason = ParseReason(json.at("reason").get<std::string>());
  return replica;
}

nlohmann::json EngineToJson(const EngineRecord& engine) {
  auto replicas = nlohmann::json::array();
  for (const auto& it : engine.replicas) {
    replicas.push_back(ReplicaToJson(it));
  }
  return {{"memory_mb", engine.memory_mb},
          {"fence", engine.fence},
          {"boot", engine.boot},
          {"leaving", engine.leaving},
          {"replicas", std::move(replicas)}};
}

EngineRecord ParseEngine(const nlohmann::json& json) {
  EngineRecord engine;
  engine.memory_mb = json.at("memory_mb").get<std::uint64_t>();
  engine.fence = json.at("fence").get<std::uint64_t>();
  engine.boot = json.at("boot").get<std::string>();
  engine.leaving = json.at("leaving").get<bool>();
  for (const auto& it : json.at("replicas")) {
    engine.replicas.push_back(ParseReplica(it));
  }
  return engine;
}

nlohmann::json FailuresToJson(const ModelKey& key,
                              const LoadFailures& failures) {
  auto engines = nlohmann::json::object();
  for (const auto& [id, it] : failures.engines) {
    engines[id] = {{"count", it.count}, {"last_ms", it.last_ms}};
  }
  return {{"model", key.model},
          {"version", key.version},
          {"adapter", key.adapter},
          {"cause", failures.cause},
          {"servers", std::move(engines)}};
}

void ParseFailures(const nlohmann::json& json, CellRecord& record) {
  const ModelKey key{json.at("model").get<std::string>(),
                     json.at("version").get<std::string>(),
                     json.at("adapter").get<std::string>()};
  auto& failures = record.failures[key];
  failures.cause = json.at("cause").get<std::string>();
  for (const auto& [id, it] : json.at("servers").items()) {
    failures.engines[id] = {it.at("count").get<std::uint32_t>(),
                            it.at("last_ms").get<std::uint64_t>()};
  }
}

}  // namespace

std::uint64_t EngineRecord::ReservedMb() const {
  std::uint64_t sum = 0;
  for (const auto& it : replicas) {
    sum += it.memory_mb;
  }
  return sum;
}

std::uint64_t EngineRecord::FreeMb() const {
  const auto reserved = ReservedMb();
  return reserved < memory_mb ? memory_mb - reserved : 0;
}

const ReplicaRecord* EngineRecord::Find(const ModelKey& key) const {
  const auto it = std::ranges::find(replicas, key, &ReplicaRecord::key);
  return it == replicas.end() ? nullptr : &*it;
}

ReplicaRecord* EngineRecord::Find(const ModelKey& key) {
  const auto it = std::ranges::find(replicas, key, &ReplicaRecord::key);
  return it == replicas.end() ? nullptr : &*it;
}

std::uint32_t CellRecord::CountReplicas(const ModelKey& key) const {
  std::uint32_t count = 0;
  for (const auto& [id, engine] : engines) {
    count += engine.Find(key) != nullptr ? 1 : 0;
  }
  return count;
}

bool CellRecord::HasWrite(std::string_view write_id) const {
  return std::ranges::find(writes, write_id) != writes.end();
}

std::string_view ReplicaStateName(ReplicaState state) {
  switch (state) {
    case ReplicaState::kLoading:
      return "loading";
    case ReplicaState::kLoaded:
      return "loaded";
    case ReplicaState::kUnloading:
      return "unloading";
  }
  return "loading";
}

std::string_view WeightSourceName(WeightSource source) {
  switch (source) {
    case WeightSource::kMemory:
      return "memory";
    case WeightSource::kDisk:
      return "disk";
    case WeightSource::kRemote:
      return "remote";
  }
  return "remote";
}

std::string_view DecisionReasonName(DecisionReason reason) {
  switch (reason) {
    case DecisionReason::kDemand:
      return "demand";
    case DecisionReason::kPrewarm:
      return "prewarm";
    case DecisionReason::kStandby:
      return "standby";
  }
  return "demand";
}

nlohmann::json RecordToJson(const CellRecord& record) {
  auto engines = nlohmann::json::object();
  for (const auto& [id, engine] : record.engines) {
    engines[id] = EngineToJson(engine);
  }
  auto failures = nlohmann::json::array();
  for (const auto& [key, it] : record.failures) {
    failures.push_back(FailuresToJson(key, it));
  }
  return {{"cell", record.cell},
          {"config_version", record.config_version},
          {"sequence", record.sequence},
          {"writes", record.writes},
          {"servers", std::move(engines)},
          {"failures", std::move(failures)}};
}

std::string SerializeRecord(const CellRecord& record) {
  return RecordToJson(record).dump();
}

Result<CellRecord> ParseRecord(std::string_view text) {
  try {
    const auto json = nlohmann::json::parse(text);
    CellRecord record;
    record.cell = json.at("cell").get<std::string>();
    record.config_version = json.at("config_version").get<std::uint64_t>();
    record.sequence = json.at("sequence").get<std::uint64_t>();
    record.writes = json.at("writes").get<std::vector<std::string>>();
    for (const auto& [id, engine] : json.at("servers").items()) {
      record.engines.emplace(id, ParseEngine(engine));
    }
    for (const auto& it : json.value("failures", nlohmann::json::array())) {
      ParseFailures(it, record);
    }
    return record;
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kInternal,
                     std::string("placement record: ") + error.what());
  }
}

}  // namespace tanagerloom
