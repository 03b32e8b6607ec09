#include "forwarding/event_assembler.h"

#include <utility>

namespace tanagerloom {

namespace {

constexpr std::string_view kIdField = "id:";

// Returns the position after the last complete event, which ends with an empty
// line; 0 if there is none.
std::size_t EndOfLastEvent(std::string_view text) {
  for (auto pos = text.rfind('\n'); pos != std::string_view::npos && pos > 0;
       pos = text.rfind('\n', pos - 1)) {
    const bool empty_line =
        text[pos - 1] == '\n' ||
        (pos > 1 && text[pos - 1] == '\r' && text[pos - 2] == '\n');
    if (empty_line) {
      return pos + 1;
    }
  }
  return 0;
}

}  // namespace

std::string EventAssembler::TakeEvents() {
  const auto end = EndOfLastEvent(pending_);
  std::string out = pending_.substr(0, end);
  pending_.erase(0, end);
  UpdateLastEventId(out);
  return out;
}

bool EventAssembler::HasPartialEvent() const {
  return pending_.find_first_not_of("\r\n") != std::string::npos;
}

std::string EventAssembler::TakeRemainder() {
  UpdateLastEventId(pending_);
  return std::exchange(pending_, {});
}

void EventAssembler::UpdateLastEventId(std::string_view events) {
  auto pos = events.rfind(std::string("\n") + std::string(kIdField));
  if (pos != std::string_view::npos) {
    ++pos;
  } else if (events.starts_with(kIdField)) {
    pos = 0;
  } else {
    return;
  }
  auto value = events.substr(pos + kIdField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  last_event_id_ = std::string(value);
}

}  // namespace tanagerloom
