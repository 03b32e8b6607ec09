#include "routing/event_stream.h"

namespace tanagerloom {

namespace {

constexpr std::string_view kEndMarker = "data: [DONE]";

// Whether the last event of `events` is the end marker.
bool EndsWithMarker(std::string_view events) {
  const auto last = events.find_last_not_of("\r\n");
  if (last == std::string_view::npos) {
    return false;
  }
  events = events.substr(0, last + 1);
  return events.ends_with(kEndMarker) &&
         (events.size() == kEndMarker.size() ||
          events[events.size() - kEndMarker.size() - 1] == '\n');
}

}  // namespace

std::string_view EventStreamBuffer::WholeEvents() const {
  const std::string_view text = pending_;
  for (auto at = text.rfind('\n'); at != std::string_view::npos && at > 0;
       at = text.rfind('\n', at - 1)) {
    if (text[at - 1] == '\n' ||
        (at > 1 && text[at - 1] == '\r' && text[at - 2] == '\n')) {
      return text.substr(0, at + 1);
    }
  }
  return {};
}

void EventStreamBuffer::Consume(std::size_t n) {
  ended_ = ended_ || EndsWithMarker(std::string_view(pending_).substr(0, n));
  pending_.erase(0, n);
}

}  // namespace tanagerloom
