// Defines OutboundQueue, the bounded queue of frames to send to one peer. A
// slow peer takes a bounded amount of memory, and gets the newest state when it
// reads again.
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

/// A frame to send. The connections over which a message is flooded share it.
struct OutboundMessage {
  std::shared_ptr<const std::string> frame;
  /// Identifies the state that the message carries, such as the record of a
  /// cell. A newer message replaces a queued one with the same key. A message
  /// with an empty key is not replaced.
  std::string state_key;
  std::uint64_t version = 0;  ///< An older version never replaces a newer one.
  bool control = false;       ///< Whether it is sent before other messages.
  /// Set only for a Demand, which is merged with a queued one, so that its
  /// arrivals and its final zeros are not lost.
  std::optional<Envelope> demand;
};

/// Encodes `envelope` as a message to send.
OutboundMessage MakeOutbound(const Envelope& envelope);

/// Like MakeOutbound, for a received envelope whose encoding is `payload`.
OutboundMessage MakeForwarded(const Envelope& envelope,
                              std::string_view payload);

/// A bounded first-in, first-out queue in which newer state replaces queued
/// state.
class OutboundQueue {
 public:
  /// Maximum size of all queued frames: two frames of the maximum size and
  /// smaller ones fit.
  static constexpr std::size_t kMaxBytes = 4 * 1024 * 1024;
  static constexpr std::size_t kMaxMessages = 4096;

  /// Adds a message. If the queue is over a limit, drops the oldest messages,
  /// control messages last. Returns the number of dropped messages.
  std::size_t Push(OutboundMessage message);

  /// Removes the next message and returns its frame, or null if the queue is
  /// empty.
  std::shared_ptr<const std::string> Pop();

  bool empty() const { return control_.empty() && data_order_.empty(); }
  std::size_t size() const { return control_.size() + messages_.size(); }
  std::size_t bytes() const { return bytes_; }
  /// Number of messages that were replaced by a newer one or discarded because
  /// a newer one was queued.
  std::uint64_t replaced() const { return replaced_; }

  /// Moves all messages of `other` to this queue.
  void TakeAll(OutboundQueue& other);

 private:
  /// Replaces the queued message with the same state key. Returns false if
  /// there is none.
  bool Replace(OutboundMessage& message);
  /// Removes the oldest message that is not a control message.
  std::shared_ptr<const std::string> PopData();

  std::deque<std::shared_ptr<const std::string>> control_;
  std::deque<std::uint64_t> data_order_;  ///< Keys of messages_, oldest first.
  std::unordered_map<std::uint64_t, OutboundMessage> messages_;
  /// Key in messages_ of the message with a given state key.
  std::unordered_map<std::string, std::uint64_t> key_by_state_;
  std::uint64_t next_key_ = 0;
  std::size_t bytes_ = 0;
  std::uint64_t replaced_ = 0;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_OUTBOUND_QUEUE_H_
