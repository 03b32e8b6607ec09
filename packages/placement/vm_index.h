// Defines VmIndex, the engines of the VM list by pool, shared by the cells of a
// node so that the list is copied once for all of them.
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

/// Engines by pool.
class VmIndex {
 public:
  VmIndex(const PeerNetwork& peers, const Clock& clock);

  /// The engines of a pool; null until a VM list is known. At most 250 ms old,
  /// and 100 ms more for each 1,000 VMs.
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
