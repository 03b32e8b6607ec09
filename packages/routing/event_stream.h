// Defines EventStreamBuffer, which splits a relayed stream of server-sent
// events at event boundaries and recognizes its end marker without parsing the
// events.
#ifndef ROUTING_EVENT_STREAM_H_
#define ROUTING_EVENT_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Buffers the bytes of a stream that were received but not relayed yet.
class EventStreamBuffer {
 public:
  /// The buffer to which newly read bytes are appended.
  std::string& input() { return pending_; }

  /// The complete events that wait to be relayed, without a partial event at
  /// the end. Valid until the next change of the buffer.
  std::string_view CompleteEvents();

  /// Removes the first `n` bytes, which were relayed. They must end at an event
  /// boundary.
  void Consume(std::size_t n);

  /// Whether the last relayed event was `data: [DONE]`.
  bool ended() const { return ended_; }

  /// Number of data events consumed so far: the offset at which the stream is
  /// resumed.
  std::uint64_t consumed_events() const { return consumed_events_; }

  /// Discards the buffered bytes, to receive the rest of the stream from
  /// consumed_events() on over a new connection.
  void PrepareResume();

 private:
  std::string pending_;
  std::uint64_t consumed_events_ = 0;
  /// Whether an event with a finish reason was consumed.
  bool finished_ = false;
  /// Whether everything but the end marker is skipped.
  bool skip_to_end_ = false;
  bool ended_ = false;
};

}  // namespace tanagerloom

#endif  // ROUTING_EVENT_STREAM_H_
