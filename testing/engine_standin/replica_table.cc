#include "testing/engine_standin/replica_table.h"

#include <algorithm>

#include "base/id.h"
#include "runtime/runtime.h"

namespace tanagerloom::testing_support {

namespace {

constexpr double kPollIntervalMs = 5;
constexpr auto kFetchTimeout = std::chrono::minutes(10);

}  // namespace

ReplicaTable::ReplicaTable(const Flags& flags,
                           TestControl& control,
                           Ledger& ledger)
    : control_(control),
      ledger_(ledger),
      client_(Runtime::Get().io()),
      weight_store_(ParseAddress(flags.Text("weights"))),
      memory_mb_(static_cast<std::uint64_t>(flags.Number("memory-mb", 80000))),
      checks_fence_(flags.Bool("checks-fence", true)),
      disk_ms_per_gb_(flags.Number("disk-ms-per-gb", 40)),
      memory_ms_per_gb_(flags.Number("memory-ms-per-gb", 5)),
      cache_models_(static_cast<std::size_t>(flags.Number("cache-models", 2))),
      boot_(NewId("boot-")) {
  for (const auto& it : flags.List("disk-cached")) {
    cached_[it] = "disk";
  }
  for (const auto& it : flags.List("memory-cached")) {
    CacheInMemory(it);
  }
}

std::pair<int, nlohmann::json> ReplicaTable::Execute(
    const nlohmann::json& order) {
  const auto id = order.value("order", std::string());
  if (const auto it = answers_by_order_.find(id);
      it != answers_by_order_.end()) {
    return it->second;
  }
  auto event = order;
  auto answer = CheckOrder(order);
  event["boot"] = boot_;
  event["status"] = answer.first;
  ledger_.Add("order", event);
  if (answer.first == 503) {
    return answer;
  }
  if (answer.first == 200) {
    highest_fence_ =
        std::max(highest_fence_, order.value("fence", std::uint64_t{0}));
    auto entry = std::make_shared<Replica>();
    entry->model = order.value("model", "");
    entry->version = order.value("version", "");
    entry->adapter = order.value("adapter", "");
    entry->memory_mb = order.value("memory_mb", std::uint64_t{0});
    entry->order = id;
    if (order.value("action", "") == "unload") {
      Unload(KeyOf(*entry), id);
    } else {
      Load(entry, order.value("source", "remote"));
    }
    answer.second = {
        {"accepted", true}, {"sequence", ++sequence_}, {"boot", boot_}};
  }
  answers_by_order_[id] = answer;
  return answer;
}

std::pair<int, nlohmann::json> ReplicaTable::CheckOrder(
    const nlohmann::json& order) const {
  if (control_.Bool("leaving") && order.value("action", "") != "unload") {
    return {503, {{"reason", "leaving"}}};
  }
  if (checks_fence_ &&
      order.value("fence", std::uint64_t{0}) <= highest_fence_) {
    return {409, {{"reason", "old_fence"}, {"highest", highest_fence_}}};
  }
  return {200, {}};
}

nlohmann::json ReplicaTable::Describe(const Replica& replica) const {
  return {{"model", replica.model},         {"version", replica.version},
          {"adapter", replica.adapter},     {"order", replica.order},
          {"memory_mb", replica.memory_mb}, {"boot", boot_}};
}

void ReplicaTable::Load(const Entry& entry, const std::string& source) {
  const auto it = entries_.find(KeyOf(*entry));
  if (it != entries_.end() && it->second->unloading) {
    // Starts after the unload in flight has finished.
    Spawn([this, entry, source, boot = boot_] {
      while (boot == boot_ && entries_.contains(KeyOf(*entry))) {
        SleepMs(kPollIntervalMs);
      }
      if (boot == boot_) {
        Load(entry, source);
      }
    });
    return;
  }
  if (it != entries_.end() && it->second->state != "failed") {
    it->second->order = entry->order;
    return;
  }
  entry->state = "loading";
  entries_[KeyOf(*entry)] = entry;
  ++sequence_;
  used_mb_ += entry->memory_mb;
  peak_mb_ = std::max(peak_mb_, used_mb_);
  peak_replicas_ = std::max(peak_replicas_, entries_.size());
  ++load_counts_[entry->model +
                 (entry->adapter.empty() ? "" : ":" + entry->adapter)];
  auto event = Describe(*entry);
  event["used_mb"] = used_mb_;
  event["capacity_mb"] = memory_mb_;
  ledger_.Add("load_started", std::move(event));
  Spawn([this, entry, source] { RunLoadOrder(entry, source); });
}

void ReplicaTable::RunLoadOrder(const Entry& entry, const std::string& source) {
  const auto cause = FetchWeights(*entry, source);
  if (entry->removed) {
    return;
  }
  ++sequence_;
  auto event = Describe(*entry);
  event["cause"] = cause;
  ledger_.Add("load_ended", std::move(event));
  if (cause.empty()) {
    entry->state = "loaded";
    return;
  }
  entry->state = "failed";
  entry->cause = cause;
  used_mb_ -= entry->memory_mb;
  ledger_.Add("released", Describe(*entry));
  entry->memory_mb = 0;
}

std::string ReplicaTable::FetchWeights(const Replica& replica,
                                       const std::string& source) {
  const Key base{replica.model, replica.version, ""};
  if (!replica.adapter.empty()) {
    while (entries_.contains(base) && entries_[base]->state == "loading") {
      SleepMs(kPollIntervalMs);
    }
    if (!entries_.contains(base) || entries_[base]->state != "loaded") {
      return "the base model is not loaded";
    }
  }
  if (control_.ConsumeFaultFor("fail_loads", replica.model)) {
    return "the checkpoint is damaged";
  }
  const auto cached = cached_.find(replica.model);
  if (replica.adapter.empty() && source != "remote" &&
      cached != cached_.end()) {
    const double gb = static_cast<double>(replica.memory_mb) / 1024;
    SleepMs(gb *
            (cached->second == "disk" ? disk_ms_per_gb_ : memory_ms_per_gb_));
    return "";
  }
  const auto target =
      "/weights/" + PercentEncode(replica.model) +
      "?mb=" + std::to_string(replica.memory_mb) +
      (replica.adapter.empty() ? ""
                               : "&adapter=" + PercentEncode(replica.adapter));
  const auto response = client_.Call(
      weight_store_, {"GET", target, {}, ""},
      {.deadline = std::chrono::steady_clock::now() + kFetchTimeout});
  if (!response) {
    return response.assume_error().error.message;
  }
  if (response.assume_value().status != 200) {
    return "weight store: status " +
           std::to_string(response.assume_value().status);
  }
  if (replica.adapter.empty()) {
    cached_.try_emplace(replica.model, "disk");
  }
  return "";
}

void ReplicaTable::Unload(const Key& key, const std::string& order) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return;
  }
  const auto entry = it->second;
  entry->unloading = true;
  entry->order = order;
  Spawn([this, entry] {
    while (!entry->removed && entry->running > 0) {
      SleepMs(kPollIntervalMs);
    }
    Remove(entry);
  });
}

void ReplicaTable::Remove(const Entry& entry) {
  if (entry->removed) {
    return;
  }
  for (const auto& [key, other] : entries_) {
    if (entry->adapter.empty() && !other->adapter.empty() &&
        other->model == entry->model && other->version == entry->version) {
      ledger_.Add("base_removed_under_adapter", Describe(*other));
    }
  }
  entry->removed = true;
  entries_.erase(KeyOf(*entry));
  used_mb_ -= entry->memory_mb;
  ++sequence_;
  if (entry->state != "failed") {
    ledger_.Add("released", Describe(*entry));
  }
  if (entry->adapter.empty() && entry->state == "loaded") {
    CacheInMemory(entry->model);
  }
}

void ReplicaTable::CacheInMemory(const std::string& model) {
  cached_in_memory_.remove(model);
  cached_in_memory_.push_front(model);
  cached_[model] = "memory";
  if (cached_in_memory_.size() > cache_models_) {
    cached_[cached_in_memory_.back()] = "disk";
    cached_in_memory_.pop_back();
  }
}

nlohmann::json ReplicaTable::State() const {
  auto entries = nlohmann::json::array();
  for (const auto& [key, entry] : entries_) {
    auto json = Describe(*entry);
    json["state"] = entry->state;
    json["cause"] = entry->cause;
    entries.push_back(std::move(json));
  }
  return {{"boot", boot_},
          {"sequence", sequence_},
          {"highest_fence", highest_fence_},
          {"memory_mb", memory_mb_},
          {"used_mb", used_mb_},
          {"leaving", control_.Bool("leaving")},
          {"cached", cached_},
          {"entries", std::move(entries)}};
}

std::shared_ptr<Replica> ReplicaTable::FindServing(
    const std::string& name) const {
  const auto colon = name.find(':');
  const auto adapter =
      colon == std::string::npos ? std::string() : name.substr(colon + 1);
  const auto base = name.substr(0, colon);
  const auto at = base.find('@');
  const auto version =
      at == std::string::npos ? std::string() : base.substr(at + 1);
  for (const auto& [key, entry] : entries_) {
    if (entry->model == base.substr(0, at) && entry->adapter == adapter &&
        (version.empty() || entry->version == version) &&
        entry->state == "loaded" && !entry->unloading) {
      return entry;
    }
  }
  return nullptr;
}

void ReplicaTable::Restart() {
  for (const auto& [key, entry] : entries_) {
    entry->removed = true;
    if (entry->state != "failed") {
      ledger_.Add("released", Describe(*entry));
    }
  }
  entries_.clear();
  answers_by_order_.clear();
  cached_in_memory_.clear();
  for (auto& [model, level] : cached_) {
    level = "disk";
  }
  boot_ = NewId("boot-");
  sequence_ = 0;
  highest_fence_ = 0;
  used_mb_ = 0;
}

}  // namespace tanagerloom::testing_support
