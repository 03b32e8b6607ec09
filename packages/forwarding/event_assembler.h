// Defines EventAssembler, which splits a stream of server-sent events at event
// boundaries.
#ifndef FORWARDING_EVENT_ASSEMBLER_H_
#define FORWARDING_EVENT_ASSEMBLER_H_

#include <string>
#include <string_view>

namespace tanagerloom {

/// Buffers the received bytes of an event stream until events are complete.
/// Since only whole events are forwarded, a stream whose connection breaks
/// within an event can be resumed at another endpoint without a partial event.
class EventAssembler {
 public:
  /// Buffer to which received bytes are appended.
  std::string& input() { return pending_; }

  /// Removes and returns the complete events; empty if there are none.
  std::string TakeEvents();

  /// Returns whether a part of an event is left. A stream that ends then has
  /// been broken off.
  bool HasPartialEvent() const;

  /// Removes and returns the remaining bytes at the end of a complete stream.
  std::string TakeRemainder();

  /// Discards the partial event of a broken stream.
  void DiscardPartialEvent() { pending_.clear(); }

  /// Id of the last event that was taken; empty if none had an id.
  const std::string& last_event_id() const { return last_event_id_; }

 private:
  /// Takes over the last event id in `events`, if there is one.
  void UpdateLastEventId(std::string_view events);

  std::string pending_;
  std::string last_event_id_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_EVENT_ASSEMBLER_H_
