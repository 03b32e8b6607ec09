// Defines EventStreamBuffer, which cuts a relayed server-sent event stream at
// event borders and recognises its end marker without parsing the events.
#ifndef ROUTING_EVENT_STREAM_H_
#define ROUTING_EVENT_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Bytes of a stream that have arrived but were not relayed yet.
class EventStreamBuffer {
 public:
  /// Where newly read bytes are appended.
  std::string& input() { return pending_; }

  /// The whole events that wait to be relayed; at most all that arrived.
  std::string_view CompleteEvents();

  /// Drops the first `n` bytes, which were relayed.
  void Consume(std::size_t n);

  /// Whether the last relayed event was `data: [DONE]`.
  bool ended() const { return ended_; }

  /// Data events consumed so far: the offset at which the stream is resumed.
  std::uint64_t consumed_events() const { return consumed_events_; }

  /// Prepares for the same stream from events() on over a new connection.
  void PrepareResume();

 private:
  std::string pending_;
  std::uint64_t consumed_events_ = 0;
  bool finished_ = false;     ///< An event with a finish reason was consumed.
  bool skip_to_end_ = false;  ///< Only the end marker is still missing.
  bool ended_ = false;
};

}  // namespace tanagerloom

#endif  // ROUTING_EVENT_STREAM_H_
