#include "routing/event_stream.h"

namespace tanagerloom {

namespace {

constexpr std::string_view kEndMarker = "data: [DONE]";

// Whether the last event of `events` is the end marker.
bool EndsWithEndMarker(std::string_view events) {
  const auto last = events.find_last_not_of("\r\n");
  if (last == std::string_view::npos) {
    return false;
  }
  events = events.substr(0, last + 1);
  return events.ends_with(kEndMarker) &&
         (events.size() == kEndMarker.size() ||
          events[events.size() - kEndMarker.size() - 1] == '\n');
}

std::uint64_t CountDataLines(std::string_view events) {
  constexpr std::string_view kLine = "\ndata:";
  std::uint64_t n = events.starts_with(kLine.substr(1)) ? 1 : 0;
  for (auto at = events.find(kLine); at != std::string_view::npos;
       at = events.find(kLine, at + kLine.size())) {
    ++n;
  }
  return n;
}

// Whether the last event has a finish reason, after which only the end marker
// follows. A text search is sufficient: quotes in generated text are escaped,
// so it cannot match there.
bool HasFinishReason(std::string_view events) {
  constexpr std::string_view kReason = "\"finish_reason\":";
  const auto at = events.rfind(kReason);
  if (at == std::string_view::npos) {
    return false;
  }
  const auto value = events.find_first_not_of(' ', at + kReason.size());
  return value != std::string_view::npos && events[value] == '"';
}

}  // namespace

std::string_view EventStreamBuffer::CompleteEvents() {
  if (skip_to_end_) {
    // The engine sends its last event again; only the end marker is new.
    const auto marker = pending_.rfind(kEndMarker);
    pending_.erase(0, marker == std::string::npos ? 0 : marker);
    if (marker == std::string::npos) {
      return {};
    }
  }
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
  const auto consumed = std::string_view(pending_).substr(0, n);
  ended_ = ended_ || EndsWithEndMarker(consumed);
  consumed_events_ += CountDataLines(consumed);
  finished_ = finished_ || HasFinishReason(consumed);
  pending_.erase(0, n);
}

void EventStreamBuffer::PrepareResume() {
  pending_.clear();
  skip_to_end_ = finished_;
}

}  // namespace tanagerloom
