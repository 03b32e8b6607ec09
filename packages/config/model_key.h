// Defines ModelKey, which identifies the model version and adapter that a
// replica serves.
#ifndef CONFIG_MODEL_KEY_H_
#define CONFIG_MODEL_KEY_H_

#include <compare>
#include <string>

namespace tanagerloom {

/// A model version or, if `adapter` is not empty, an adapter of it.
struct ModelKey {
  std::string model;
  std::string version;
  std::string adapter;

  auto operator<=>(const ModelKey&) const = default;

  /// "MODEL@VERSION" or "MODEL@VERSION:ADAPTER".
  std::string ToString() const {
    return model + "@" + version + (adapter.empty() ? "" : ":" + adapter);
  }

  /// The key without its adapter.
  ModelKey Base() const { return {model, version, ""}; }
};

}  // namespace tanagerloom

#endif  // CONFIG_MODEL_KEY_H_
