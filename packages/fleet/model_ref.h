// Defines ModelRef, which identifies a model or one of its adapters.
#ifndef FLEET_MODEL_REF_H_
#define FLEET_MODEL_REF_H_

#include <algorithm>
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

/// Max number of bytes of a name that a request gives and no configuration
/// lists. Names are kept and reported to other nodes while their requests wait.
inline constexpr std::size_t kMaxUnlistedNameBytes = 128;

/// Returns whether a name that a request gives and no configuration lists may
/// be used: short, and of visible ASCII characters, since orders to engines are
/// JSON, which other bytes may not be written to.
inline bool IsUsableName(std::string_view name) {
  return name.size() <= kMaxUnlistedNameBytes &&
         std::ranges::all_of(name, [](char c) { return c > ' ' && c <= '~'; });
}

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
