// Defines the port to the platform's list of VMs, which lags behind reality.
#ifndef PORTS_VM_LIST_H_
#define PORTS_VM_LIST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/error.h"

namespace tanagerloom {

/// What a VM runs.
enum class VmRole { kNode, kEngine, kService };

/// One VM of the list.
struct Vm {
  std::string id;
  VmRole role = VmRole::kNode;
  Address address;               ///< Where callers or nodes send requests.
  std::uint16_t peer_port = 0;   ///< Of a node.
  std::uint16_t admin_port = 0;  ///< Of a node.
  std::string data_centre;
  std::string pool;  ///< Of an endpoint.
  bool leaving = false;
};

/// The platform's list of live and leaving VMs.
class VmList {
 public:
  virtual ~VmList() = default;

  virtual Result<std::vector<Vm>> Read() = 0;
};

}  // namespace tanagerloom

#endif  // PORTS_VM_LIST_H_
