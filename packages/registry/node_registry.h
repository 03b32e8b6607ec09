// Defines NodeRegistry, through which the nodes of a fleet find each other:
// each stores an object with its address in the platform's object store.
#ifndef REGISTRY_NODE_REGISTRY_H_
#define REGISTRY_NODE_REGISTRY_H_

#include <string>

#include "ports/object_collection.h"
#include "ports/object_store.h"
#include "ports/vm_list.h"

namespace tanagerloom {

class Clock;

/// The list of nodes. A read may return a stale list, which is cheaper; a node
/// that is missing from it is found a little later.
class NodeRegistry final : public VmList {
 public:
  NodeRegistry(ObjectStore& store,
               ObjectCollection& collections,
               Clock& clock,
               Vm self);

  /// Stores this node's address and retries until that succeeds or Stop() is
  /// called. Call it on a fiber.
  void Register();
  void Stop() { stopping_ = true; }

  /// Returns all stored nodes, including this one; fails if the store does.
  Result<std::vector<Vm>> Read() override;

 private:
  /// Stores the address unless it is already stored.
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
