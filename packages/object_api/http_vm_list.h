// Defines HttpVmList, which implements VmList with the platform's HTTP list of
// VMs (docs/design.md, section 3.5).
#ifndef OBJECT_API_HTTP_VM_LIST_H_
#define OBJECT_API_HTTP_VM_LIST_H_

#include "ports/vm_list.h"
#include "runtime/clock.h"

namespace tanagerloom {

class HttpClient;

/// Reads the VM list over HTTP. `call_timeout` limits each read.
class HttpVmList final : public VmList {
 public:
  HttpVmList(HttpClient& client,
             const Clock& clock,
             Address platform,
             Duration call_timeout);

  Result<std::vector<Vm>> Read() override;

 private:
  HttpClient& client_;
  const Clock& clock_;
  Address platform_;
  Duration call_timeout_;
};

}  // namespace tanagerloom

#endif  // OBJECT_API_HTTP_VM_LIST_H_
