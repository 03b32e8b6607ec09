#include "config/estate.h"

#include "config/digest.h"

namespace tanagerloom {

std::optional<ResolvedModel> Estate::Resolve(std::string_view name) const {
  const auto colon = name.find(':');
  const auto it = models.find(name.substr(0, colon));
  if (it == models.end()) {
    return std::nullopt;
  }
  const auto& model = it->second;
  ResolvedModel out{{model.name, model.version, ""}, &model, nullptr};
  if (colon == std::string_view::npos) {
    return out;
  }
  const auto adapter = model.adapters.find(name.substr(colon + 1));
  if (adapter == model.adapters.end()) {
    return std::nullopt;
  }
  out.key.adapter = adapter->second.name;
  out.adapter = &adapter->second;
  return out;
}

const ClientSpec* Estate::FindClient(std::string_view key) const {
  const std::string digest = Sha256Hex(key);
  const ClientSpec* found = nullptr;
  // Compares the key with every client, so that the time does not reveal which
  // client matched.
  for (const auto& it : clients) {
    if (EqualInConstantTime(it.second.key_sha256, digest)) {
      found = &it.second;
    }
  }
  return found;
}

namespace {

/// The model and adapter that a ModelKey refers to, if its version is current.
struct Offer {
  const ModelSpec* model = nullptr;
  const AdapterSpec* adapter = nullptr;
};

std::optional<Offer> FindOffer(const Estate& estate, const ModelKey& key) {
  const auto it = estate.models.find(key.model);
  if (it == estate.models.end() || it->second.version != key.version) {
    return std::nullopt;
  }
  if (key.adapter.empty()) {
    return Offer{&it->second, nullptr};
  }
  const auto adapter = it->second.adapters.find(key.adapter);
  return adapter == it->second.adapters.end()
             ? std::nullopt
             : std::optional(Offer{&it->second, &adapter->second});
}

}  // namespace

std::uint32_t Estate::ReplicaLimit(const ModelKey& key) const {
  const auto offer = FindOffer(*this, key);
  if (!offer) {
    return 0;
  }
  return offer->adapter != nullptr ? offer->adapter->replica_limit
                                   : offer->model->replica_limit;
}

std::uint64_t Estate::MemoryMb(const ModelKey& key) const {
  const auto offer = FindOffer(*this, key);
  if (!offer) {
    return 0;
  }
  return offer->adapter != nullptr ? offer->adapter->memory_mb
                                   : offer->model->memory_mb;
}

bool Estate::IsOperatorToken(std::string_view operator_name,
                             std::string_view token) const {
  const auto it = operators.find(operator_name);
  return it != operators.end() &&
         EqualInConstantTime(
             it->second.token_sha256,
             Sha256Hex(it->second.token_salt + std::string(token)));
}

}  // namespace tanagerloom
