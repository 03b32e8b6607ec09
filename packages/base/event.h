// Defines EventId, which describes a numbered event of the log and the
// timeline. docs/events.md lists every event with its fields, and
// tools/check_events.py compares that list with the code. A number is never
// reused.
#ifndef BASE_EVENT_H_
#define BASE_EVENT_H_

#include <string_view>

namespace tanagerloom {

/// The severity of an event.
enum class Severity { kDebug, kInfo, kWarning, kError };

/// The number, severity and name of an event.
struct EventId {
  int number;
  Severity severity;
  std::string_view name;
};

}  // namespace tanagerloom

#endif  // BASE_EVENT_H_
