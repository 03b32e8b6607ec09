// Defines EstateSource, the interface through which the components of a node
// read the configuration in force.
#ifndef CONFIG_ESTATE_SOURCE_H_
#define CONFIG_ESTATE_SOURCE_H_

#include <functional>
#include <memory>

#include "config/estate.h"

namespace tanagerloom {

/// Provides the configuration in force on this node. Its version never falls.
class EstateSource {
 public:
  virtual ~EstateSource() = default;

  /// The configuration in force. It is never null and has version 0 before the
  /// first configuration is in force.
  virtual std::shared_ptr<const Estate> Current() const = 0;

  /// Registers `handler`, which is called after each change.
  virtual void OnChange(std::function<void()> handler) = 0;
};

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_SOURCE_H_
