// Defines EstateSource, from which the parts of a node read the configuration
// that is in force.
#ifndef CONFIG_ESTATE_SOURCE_H_
#define CONFIG_ESTATE_SOURCE_H_

#include <functional>
#include <memory>

#include "config/estate.h"

namespace tanagerloom {

/// The configuration in force on this node; versions only rise.
class EstateSource {
 public:
  virtual ~EstateSource() = default;

  /// Never null; version 0 before the first configuration is known.
  virtual std::shared_ptr<const Estate> Current() const = 0;

  /// Calls `handler` after each change.
  virtual void OnChange(std::function<void()> handler) = 0;
};

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_SOURCE_H_
