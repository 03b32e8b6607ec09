// Defines EventCutter, which cuts a server-sent event stream at event borders.
#ifndef FORWARDING_EVENT_ASSEMBLER_H_
#define FORWARDING_EVENT_ASSEMBLER_H_

#include <string>
#include <string_view>

namespace tanagerloom {

/// Bytes of a stream that arrived and were not passed on. Only whole events are
/// passed on, so that a stream that breaks off in the middle of an event can go
/// on elsewhere without a torn one.
class EventAssembler {
 public:
  /// Where newly read bytes are appended.
  std::string& input() { return pending_; }

  /// Removes and returns the whole events that arrived; empty if there are
  /// none.
  std::string TakeEvents();

  /// Removes and returns what is left at the proper end of a stream.
  std::string TakeRemainder();

  /// Drops the unfinished event of a stream that broke off.
  void DiscardPartialEvent() { pending_.clear(); }

  /// The id of the last event that was taken; empty before the first.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  void UpdateLastEventId(std::string_view events);

  std::string pending_;
  std::string last_event_id_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_EVENT_CUTTER_H_
