// Defines NodeRegistry, through which the nodes of a fleet find each other:
// each keeps an object with its address in the platform's store.
#ifndef REGISTRY_NODE_REGISTRY_H_
#define REGISTRY_NODE_REGISTRY_H_

#include <string>

#include "ports/object_collection.h"
#include "ports/object_store.h"
#include "ports/vm_list.h"

namespace tanagerloom {

class Clock;

/// The list of nodes. Reading may give an old list, which costs less: a node
/// that is missing from it is found a little later.
class NodeRegistry final : public VmList {
 public:
  NodeRegistry(ObjectStore& store,
               ObjectCollection& collections,
               Clock& clock,
               Vm self);

  /// Stores this node's address, again and again until that succeeds; call it
  /// on a fiber.
  void Register();
  void Stop() { stopping_ = true; }

  Result<std::vector<Vm>> Read() override;

 private:
  /// Stores the address unless it is stored already.
  Result<void> TryRegister();

  ObjectStore& store_;
  ObjectCollection& collections_;
  Clock& clock_;
  Vm self_;
  int reads_ = 0;
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // REGISTRY_NODE_REGISTRY_H_
