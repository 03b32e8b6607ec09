#include "placement/vm_index.h"

#include <chrono>

#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRefreshInterval{250};
constexpr milliseconds kRefreshIntervalPerThousandVms{100};

}  // namespace

VmIndex::VmIndex(const PeerNetwork& peers, const Clock& clock)
    : peers_(peers), clock_(clock) {}

const std::vector<Vm>* VmIndex::EnginesOf(const std::string& pool) {
  if (!next_refresh_ || clock_.Now() >= *next_refresh_) {
    Refresh();
  }
  return has_vm_list_ ? &engines_by_pool_[pool] : nullptr;
}

void VmIndex::Refresh() {
  auto vms = peers_.Vms();
  next_refresh_ =
      clock_.Now() + kMinRefreshInterval +
      kRefreshIntervalPerThousandVms * static_cast<int>(vms.size() / 1000);
  // An empty list means that no list has been read yet, not that all VMs are
  // gone.
  if (vms.empty()) {
    return;
  }
  has_vm_list_ = true;
  engines_by_pool_.clear();
  for (auto& vm : vms) {
    if (vm.role == VmRole::kEngine) {
      engines_by_pool_[vm.pool].push_back(std::move(vm));
    }
  }
}

}  // namespace tanagerloom
