// Defines checks of invariants. They are compiled into every build: a violation
// is recorded as a numbered event with its values and aborts the process,
// because continuing could break a guarantee that clients rely on.
#ifndef BASE_INVARIANT_H_
#define BASE_INVARIANT_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace tanagerloom {

class EventLog;

/// Returns the number of invariant checks since the process started.
std::uint64_t InvariantsChecked();

/// Sets the log that violations are recorded in. With null they are written to
/// standard error only.
void SetInvariantLog(EventLog* log);

/// Records event 900 with `name` and `values` and aborts, unless `holds`.
void CheckInvariant(bool holds,
                    std::string_view name,
                    const nlohmann::json& values);

/// Like CheckInvariant, but calls `make_values` only on a violation.
template <typename MakeValues>
requires requires(MakeValues make_values) {
  nlohmann::json(make_values());
}
void CheckInvariantLazy(bool holds,
                        std::string_view name,
                        MakeValues make_values) {
  CheckInvariant(holds, name, holds ? nlohmann::json() : make_values());
}

}  // namespace tanagerloom

#endif  // BASE_INVARIANT_H_
