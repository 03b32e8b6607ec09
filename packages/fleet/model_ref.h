// Defines ModelRef, which identifies a model or one of its adapters.
#ifndef FLEET_MODEL_REF_H_
#define FLEET_MODEL_REF_H_

#include <compare>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Identifies a model, or one adapter of a model.
struct ModelRef {
  std::string model;    ///< Empty if a request names no model.
  std::string adapter;  ///< Empty for the model itself.

  auto operator<=>(const ModelRef&) const = default;

  /// Returns "MODEL" or "MODEL/ADAPTER", for logs.
  std::string ToString() const {
    return adapter.empty() ? model : model + "/" + adapter;
  }
};

/// Parses "MODEL" or "MODEL/ADAPTER".
inline ModelRef ParseModelRef(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) {
    return {std::string(text), ""};
  }
  return {std::string(text.substr(0, slash)),
          std::string(text.substr(slash + 1))};
}

}  // namespace tanagerloom

#endif  // FLEET_MODEL_REF_H_
