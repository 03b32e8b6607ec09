// Defines VmList, the interface to the platform's list of VMs. The list lags
// behind the real state of the VMs.
#ifndef PORTS_VM_LIST_H_
#define PORTS_VM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/error.h"

namespace tanagerloom {

/// The kind of program that a VM runs.
enum class VmRole { kNode, kEngine, kService };

/// A VM of the list.
struct Vm {
  std::string id;
  VmRole role = VmRole::kNode;
  Address address;               ///< Address that requests are sent to.
  std::uint16_t peer_port = 0;   ///< Port for other nodes; 0 unless a node.
  std::uint16_t admin_port = 0;  ///< Port of the admin API; 0 unless a node.
  std::string data_centre;
  double processors = 0;  ///< Of a node's VM, may be a part; 0 if unknown.
  std::string pool;       ///< Pool of an endpoint; empty for a node.
  bool leaving = false;   ///< The platform lists the VM as leaving.
};

/// Reads the platform's list of live and leaving VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  /// Reads the whole list.
  virtual Result<std::vector<Vm>> Read() = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_VM_LIST_H_
