// Defines VmIndex, which groups the engines of the VM list by pool. All cells
// of a node share one index, so that the list is copied once for all of them.
#ifndef PLACEMENT_VM_INDEX_H_
#define PLACEMENT_VM_INDEX_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ports/vm_list.h"
#include "runtime/clock.h"

namespace tanagerloom {

class PeerNetwork;

/// The engines of the VM list, grouped by pool and refreshed periodically.
class VmIndex {
 public:
  VmIndex(const PeerNetwork& peers, const Clock& clock);

  /// Returns the engines of a pool, or null until a VM list has been read. The
  /// result is at most 250 ms old, plus 100 ms for every 1,000 VMs, because a
  /// larger list costs more to copy.
  const std::vector<Vm>* EnginesOf(const std::string& pool);

 private:
  void Refresh();

  const PeerNetwork& peers_;
  const Clock& clock_;
  bool has_vm_list_ = false;
  std::optional<TimePoint> next_refresh_;
  std::map<std::string, std::vector<Vm>> engines_by_pool_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_VM_INDEX_H_
