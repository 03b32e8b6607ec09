// Defines the checked invariants. They are always compiled in: a violation is
// recorded as a numbered event with its values, and the process aborts, since
// going on could break a guarantee that callers rely on.
#ifndef BASE_INVARIANT_H_
#define BASE_INVARIANT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace tanagerloom {

class EventLog;

/// Number of invariants checked since the process started.
std::uint64_t InvariantsChecked();

/// Sets the log that receives violations; null writes to standard error only.
void SetInvariantLog(EventLog* log);

/// Checks that `holds`; otherwise records event 900 with `values` and aborts.
void CheckInvariant(bool holds,
                    std::string_view name,
                    const nlohmann::json& values);

/// As CheckInvariant, with values computed only on a violation.
template <typename MakeValues>
requires requires(MakeValues make) {
  nlohmann::json(make());
}
void CheckInvariantLazy(bool holds, std::string_view name, MakeValues make) {
  CheckInvariant(holds, name, holds ? nlohmann::json() : make());
}

}  // namespace tanagerloom

#endif  // BASE_INVARIANT_H_
