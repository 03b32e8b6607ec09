#include "membership/outbound_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "wire/frame.h"

namespace tanagerloom {

namespace {

struct StateKey {
  std::string name;
  std::uint64_t version = 0;
};

// Returns the key of the state that a message carries in full, so that the
// receiver needs only its newest version. The key is empty for other messages.
StateKey StateKeyOf(const Envelope& envelope) {
  const auto* message = std::get_if<PeerMessage>(&envelope.body);
  if (message == nullptr) {
    return {};
  }
  if (const auto* it = std::get_if<RecordUpdate>(message)) {
    return {"record " + it->cell, it->object_version};
  }
  if (const auto* it = std::get_if<ConfigUpdate>(message)) {
    return {"config", it->version};
  }
  if (const auto* it = std::get_if<Demand>(message)) {
    return {"demand " + it->cell + " " + envelope.sender + " " +
                envelope.incarnation,
            it->number};
  }
  if (const auto* it = std::get_if<LoadedModelsNotice>(message)) {
    return {"loaded models " + it->endpoint + " " + std::to_string(it->fence),
            it->number};
  }
  if (const auto* it = std::get_if<LoadEstimate>(message)) {
    return {"load estimate " + it->service + " " + std::to_string(it->fence),
            it->number};
  }
  if (std::holds_alternative<EndpointUse>(*message)) {
    return {"use " + envelope.sender + " " + envelope.incarnation,
            envelope.flood_number};
  }
  return {};
}

bool SameModel(const DemandEntry& a, const DemandEntry& b) {
  return a.model == b.model && a.version == b.version && a.adapter == b.adapter;
}

std::uint32_t AddSaturating(std::uint32_t a, std::uint32_t b) {
  return a > std::numeric_limits<std::uint32_t>::max() - b
             ? std::numeric_limits<std::uint32_t>::max()
             : a + b;
}

// Adds the arrivals and prompt tokens of `older`, and the entries that only
// `older` has, to `newer`.
void MergeDemand(const Demand& older, Demand& newer) {
  for (const auto& it : older.entries) {
    const auto same = std::ranges::find_if(
        newer.entries,
        [&](const DemandEntry& entry) { return SameModel(entry, it); });
    if (same == newer.entries.end()) {
      newer.entries.push_back(it);
    } else {
      same->arrivals = AddSaturating(same->arrivals, it.arrivals);
      same->prompt_tokens += it.prompt_tokens;
    }
  }
}

}  // namespace

OutboundMessage MakeOutbound(const Envelope& envelope) {
  return MakeForwarded(envelope, EncodeEnvelope(envelope));
}

OutboundMessage MakeForwarded(const Envelope& envelope,
                              std::string_view payload) {
  OutboundMessage out;
  auto state = StateKeyOf(envelope);
  out.state_key = std::move(state.name);
  out.version = state.version;
  out.control = !std::holds_alternative<PeerMessage>(envelope.body);
  out.frame = std::make_shared<const std::string>(MakeFrame(payload));
  const auto* message = std::get_if<PeerMessage>(&envelope.body);
  if (message != nullptr && std::holds_alternative<Demand>(*message)) {
    out.demand = envelope;
  }
  return out;
}

bool OutboundQueue::Replace(OutboundMessage& message) {
  const auto it = key_by_state_.find(message.state_key);
  if (message.state_key.empty() || it == key_by_state_.end()) {
    return false;
  }
  auto& queued = messages_.at(it->second);
  ++replaced_;
  if (message.version < queued.version) {
    return true;
  }
  if (message.demand && queued.demand) {
    Envelope merged = *message.demand;
    auto& demand = std::get<Demand>(std::get<PeerMessage>(merged.body));
    MergeDemand(std::get<Demand>(std::get<PeerMessage>(queued.demand->body)),
                demand);
    std::string payload = EncodeEnvelope(merged);
    if (payload.size() <= kMaxFrameBytes) {
      message.frame = std::make_shared<const std::string>(MakeFrame(payload));
      message.demand = std::move(merged);
    }
  }
  bytes_ = bytes_ - queued.frame->size() + message.frame->size();
  queued = std::move(message);
  return true;
}

std::size_t OutboundQueue::Push(OutboundMessage message) {
  if (message.control) {
    bytes_ += message.frame->size();
    control_.push_back(std::move(message.frame));
  } else if (!Replace(message)) {
    bytes_ += message.frame->size();
    const std::uint64_t key = next_key_++;
    if (!message.state_key.empty()) {
      key_by_state_[message.state_key] = key;
    }
    data_order_.push_back(key);
    messages_.emplace(key, std::move(message));
  }
  std::size_t dropped = 0;
  while ((bytes_ > kMaxBytes || size() > kMaxMessages) && size() > 1) {
    if (!data_order_.empty()) {
      PopData();
    } else {
      bytes_ -= control_.front()->size();
      control_.pop_front();
    }
    ++dropped;
  }
  return dropped;
}

std::shared_ptr<const std::string> OutboundQueue::PopData() {
  const std::uint64_t key = data_order_.front();
  data_order_.pop_front();
  auto message = std::move(messages_.at(key));
  messages_.erase(key);
  if (!message.state_key.empty()) {
    key_by_state_.erase(message.state_key);
  }
  bytes_ -= message.frame->size();
  return std::move(message.frame);
}

std::shared_ptr<const std::string> OutboundQueue::Pop() {
  if (!control_.empty()) {
    auto frame = std::move(control_.front());
    control_.pop_front();
    bytes_ -= frame->size();
    return frame;
  }
  return data_order_.empty() ? nullptr : PopData();
}

void OutboundQueue::TakeAll(OutboundQueue& other) {
  while (!other.control_.empty()) {
    OutboundMessage message;
    message.control = true;
    message.frame = other.Pop();
    Push(std::move(message));
  }
  while (!other.data_order_.empty()) {
    auto message = std::move(other.messages_.at(other.data_order_.front()));
    other.data_order_.pop_front();
    Push(std::move(message));
  }
  other = OutboundQueue();
}

}  // namespace tanagerloom
