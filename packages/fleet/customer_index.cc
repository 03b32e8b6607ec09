#include "fleet/customer_index.h"

#include "fleet/customer.h"
#include "fleet/fleet_config.h"

namespace tanagerloom {

namespace {

using Customers = std::unordered_map<std::string_view, const Customer*>;

const Customer* Find(const Customers& customers, std::string_view key) {
  const auto it = customers.find(key);
  return it == customers.end() ? nullptr : it->second;
}

}  // namespace

CustomerIndex::CustomerIndex(const FleetConfig& config) {
  for (const auto& it : config.customers) {
    const auto& customer = *it.value;
    by_name_.emplace(customer.name, &customer);
    for (const auto& digest : customer.key_digests) {
      by_key_.emplace(digest, &customer);
    }
  }
}

const Customer* CustomerIndex::FindByKey(std::string_view key_digest) const {
  return Find(by_key_, key_digest);
}

const Customer* CustomerIndex::FindByName(std::string_view name) const {
  return Find(by_name_, name);
}

}  // namespace tanagerloom
