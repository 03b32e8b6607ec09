// Defines OutboundQueue, the bounded queue of frames that wait for one peer.
// A slow peer costs bounded memory and gets the newest state when it is ready.
#ifndef MEMBERSHIP_OUTBOUND_QUEUE_H_
#define MEMBERSHIP_OUTBOUND_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "membership/envelope.h"

namespace tanagerloom {

/// A frame to send; floods share it between connections.
struct OutboundMessage {
  std::shared_ptr<const std::string> frame;
  /// Names the state that the message carries, such as a cell's record; a newer
  /// message replaces a queued one of the same name. Empty: never replaced.
  std::string replaces;
  std::uint64_t version = 0;  ///< An older version never replaces a newer one.
  bool control = false;       ///< Heartbeats and digests go first.
  /// Set for a Demand, which is merged with a queued one: its arrivals and its
  /// final zeros must not get lost.
  std::optional<Envelope> demand;
};

/// Makes the message that carries `envelope`.
OutboundMessage MakeOutbound(const Envelope& envelope);

/// As above for a received envelope, whose encoding is `payload`.
OutboundMessage MakeForwarded(const Envelope& envelope,
                              std::string_view payload);

/// A bounded first-in first-out queue with replacement.
class OutboundQueue {
 public:
  /// Two frames of the largest size fit beside smaller ones.
  static constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;
  static constexpr std::size_t kMaxMessages = 4096;

  /// Adds a message. Returns how many messages were dropped to make room,
  /// oldest first; control messages are dropped last.
  std::size_t Push(OutboundMessage message);

  /// Takes the next message; null if the queue is empty.
  std::shared_ptr<const std::string> Pop();

  bool empty() const { return control_.empty() && order_.empty(); }
  std::size_t size() const { return control_.size() + messages_.size(); }
  std::size_t bytes() const { return bytes_; }
  std::uint64_t replaced() const { return replaced_; }

  /// Moves all messages of `other` here.
  void TakeAll(OutboundQueue& other);

 private:
  bool Replace(OutboundMessage& message);
  std::shared_ptr<const std::string> PopData();

  std::deque<std::shared_ptr<const std::string>> control_;
  std::deque<std::uint64_t> order_;  ///< Keys of messages_.
  std::unordered_map<std::uint64_t, OutboundMessage> messages_;
  std::unordered_map<std::string, std::uint64_t> by_state_;
  std::uint64_t next_key_ = 0;
  std::size_t bytes_ = 0;
  std::uint64_t replaced_ = 0;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_OUTBOUND_QUEUE_H_
