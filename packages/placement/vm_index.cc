#include "placement/vm_index.h"

#include <chrono>

#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kShortestAge{250};
constexpr milliseconds kAgePerThousandVms{100};

}  // namespace

VmIndex::VmIndex(const PeerNetwork& peers, const Clock& clock)
    : peers_(peers), clock_(clock) {}

const std::vector<Vm>* VmIndex::EnginesOf(const std::string& pool) {
  if (!next_refresh_ || clock_.Now() >= *next_refresh_) {
    Refresh();
  }
  return known_ ? &engines_[pool] : nullptr;
}

void VmIndex::Refresh() {
  auto vms = peers_.Vms();
  next_refresh_ = clock_.Now() + kShortestAge +
                  kAgePerThousandVms * static_cast<int>(vms.size() / 1000);
  // An empty list means that none was read yet, not that all VMs are gone.
  if (vms.empty()) {
    return;
  }
  known_ = true;
  engines_.clear();
  for (auto& vm : vms) {
    if (vm.role == VmRole::kEngine) {
      engines_[vm.pool].push_back(std::move(vm));
    }
  }
}

}  // namespace tanagerloom
