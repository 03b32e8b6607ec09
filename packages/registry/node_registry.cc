#include "registry/node_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "ports/store_era.h"
#include "runtime/clock.h"

namespace tanagerloom {

namespace {

constexpr std::string_view kCollection = "fleet-nodes";
// Delay before a failed registration is retried.
constexpr auto kRegisterRetryDelay = std::chrono::milliseconds(500);
// Number of first reads that must be current, so that the nodes of a new fleet
// find each other at once.
constexpr int kCurrentReads = 3;

std::string NodeObjectKey(const std::string& node) {
  return std::string(kCollection) + "/" + node;
}

std::string NodeObjectValue(const Vm& vm) {
  return nlohmann::json({{"ip", vm.address.ip},
                         {"peer_port", vm.peer_port},
                         {"data_centre", vm.data_centre},
                         {"processors", vm.processors}})
      .dump();
}

Result<Vm> ParseNode(const CollectionItem& item) {
  const auto json = nlohmann::json::parse(item.value, nullptr, false);
  Vm vm;
  vm.id = item.name;
  vm.role = VmRole::kNode;
  try {
    vm.address.ip = json.at("ip").get<std::string>();
    vm.peer_port = json.at("peer_port").get<std::uint16_t>();
    vm.data_centre = json.value("data_centre", "");
    vm.processors = json.value("processors", 0.0);
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kInvalid, error.what());
  }
  return vm;
}

}  // namespace

NodeRegistry::NodeRegistry(ObjectStore& store,
                           ObjectCollection& collections,
                           const StoreEra& era,
                           Clock& clock,
                           Vm self)
    : store_(store),
      collections_(collections),
      era_(era),
      clock_(clock),
      self_(std::move(self)) {}

Result<void> NodeRegistry::TryRegister() {
  const auto value = NodeObjectValue(self_);
  const auto stored = store_.Get(NodeObjectKey(self_.id));
  const auto era = era_.current();
  std::uint64_t version = 0;
  if (stored) {
    const auto known = ParseNode({self_.id, stored.assume_value().value, 0});
    if (known && NodeObjectValue(known.assume_value()) == value) {
      registered_era_ = era;
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    version = stored.assume_value().version;
  } else if (stored.assume_error().kind != ErrorKind::kNotFound) {
    return stored.assume_error();
  }
  BOOST_OUTCOME_TRYV(store_.Put(NodeObjectKey(self_.id), value, version));
  if (era_.current() != era) {
    return MakeError(ErrorKind::kUnknown, "the store was restored meanwhile");
  }
  registered_era_ = era;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void NodeRegistry::Register() {
  if (std::exchange(registering_, true)) {
    return;
  }
  while (!stopping_ && registered_era_ != era_.current()) {
    if (!TryRegister()) {
      clock_.SleepFor(kRegisterRetryDelay);
    }
  }
  registering_ = false;
}

Result<std::vector<Vm>> NodeRegistry::Read() {
  const auto freshness =
      ++reads_ <= kCurrentReads ? Freshness::kCurrent : Freshness::kMayBeStale;
  BOOST_OUTCOME_TRY(list, collections_.ReadAll(kCollection, freshness));
  std::vector<Vm> out;
  for (const auto& it : list.items) {
    auto vm = ParseNode(it);
    if (vm && it.name != self_.id) {
      out.push_back(std::move(vm).assume_value());
    }
  }
  out.push_back(self_);
  return out;
}

}  // namespace tanagerloom
