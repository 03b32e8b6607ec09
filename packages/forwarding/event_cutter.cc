#include "forwarding/event_cutter.h"

#include <utility>

namespace tanagerloom {

namespace {

constexpr std::string_view kIdField = "id:";

// The end of the last whole event, which an empty line closes.
std::size_t EndOfEvents(std::string_view text) {
  for (auto at = text.rfind('\n'); at != std::string_view::npos && at > 0;
       at = text.rfind('\n', at - 1)) {
    const bool empty_line =
        text[at - 1] == '\n' ||
        (at > 1 && text[at - 1] == '\r' && text[at - 2] == '\n');
    if (empty_line) {
      return at + 1;
    }
  }
  return 0;
}

}  // namespace

std::string EventCutter::TakeEvents() {
  const auto end = EndOfEvents(pending_);
  std::string out = pending_.substr(0, end);
  pending_.erase(0, end);
  NoteId(out);
  return out;
}

std::string EventCutter::TakeRest() {
  NoteId(pending_);
  return std::exchange(pending_, {});
}

void EventCutter::NoteId(std::string_view events) {
  auto at = events.rfind(std::string("\n") + std::string(kIdField));
  if (at != std::string_view::npos) {
    ++at;
  } else if (events.starts_with(kIdField)) {
    at = 0;
  } else {
    return;
  }
  auto value = events.substr(at + kIdField.size());
  value = value.substr(0, value.find_first_of("\r\n"));
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  last_id_ = std::string(value);
}

}  // namespace tanagerloom
