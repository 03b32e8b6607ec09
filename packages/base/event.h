// Defines EventId, the numbered events of the product's logs and time line. The
// catalogue in docs/events.md lists each with its fields; tools/check_events
// compares the two. A number is never reused.
#ifndef BASE_EVENT_H_
#define BASE_EVENT_H_

#include <string_view>

namespace tanagerloom {

/// Severity of an event.
enum class Severity { kDebug, kInfo, kWarning, kError };

/// Static description of a numbered event.
struct EventId {
  int number;
  Severity severity;
  std::string_view name;
};

}  // namespace tanagerloom

#endif  // BASE_EVENT_H_
