// Defines NodeRegistry, through which the nodes of a fleet find each other:
// each stores an object with its address in the platform's object store.
#ifndef REGISTRY_NODE_REGISTRY_H_
#define REGISTRY_NODE_REGISTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "ports/object_collection.h"
#include "ports/object_store.h"
#include "ports/vm_list.h"

namespace tanagerloom {

class Clock;
class StoreEra;

/// The list of nodes. A read may return a stale list, which is cheaper; a node
/// that is missing from it is found a little later.
class NodeRegistry final : public VmList {
 public:
  NodeRegistry(ObjectStore& store,
               ObjectCollection& collections,
               const StoreEra& era,
               Clock& clock,
               Vm self);

  /// Stores this node's address and retries until that succeeds or Stop() is
  /// called. Call it on a fiber, also in each new era of the store, which may
  /// lack the address; does nothing if it already runs.
  void Register();
  void Stop() { stopping_ = true; }

  /// Returns all stored nodes, including this one; fails if the store does.
  Result<std::vector<Vm>> Read() override;

 private:
  /// Stores the address unless it is already stored. Fails if the era of the
  /// store changes meanwhile.
  Result<void> TryRegister();

  ObjectStore& store_;
  ObjectCollection& collections_;
  const StoreEra& era_;
  Clock& clock_;
  Vm self_;
  int reads_ = 0;
  bool registering_ = false;
  /// Era of the store in which the address is known to be stored.
  std::optional<std::uint32_t> registered_era_;
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // REGISTRY_NODE_REGISTRY_H_
