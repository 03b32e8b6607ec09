// Defines the messages between nodes, as the parts of a node see them.
#ifndef PORTS_PEER_MESSAGE_H_
#define PORTS_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tanagerloom {

/// What waits and runs on the sender for one model.
struct DemandEntry {
  std::string model;
  std::string version;
  std::string adapter;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t rank = 0;  ///< Best precedence rank among the waiting.
  std::uint64_t earliest_deadline_ms = 0;  ///< From now; 0 if none waits.
  std::uint32_t arrivals = 0;              ///< Since the last demand message.
};

/// Demand of the sender for models of a cell; entries that left are sent once
/// with zeros.
struct Demand {
  std::string cell;
  std::uint64_t number = 0;  ///< Rises with each demand of a sender.
  std::vector<DemandEntry> entries;
};

/// The coordinator has taken a demand into account.
struct DemandAck {
  std::string cell;
  std::uint64_t number = 0;
};

/// A newer placement record of a cell.
struct RecordUpdate {
  std::string cell;
  std::uint64_t object_version = 0;
  std::string record;  ///< JSON.
};

/// A newer configuration root, with the content objects that changed.
struct ConfigUpdate {
  std::uint64_t version = 0;
  std::uint64_t object_version = 0;
  std::string root;  ///< JSON.
};

/// What a node learned about an endpoint.
enum class EndpointCondition : std::uint8_t {
  kLeaving,
  kOverloaded,
  kFailing,
  kRecovered,
  kProbing,
};

/// A condition of an endpoint that other nodes should know at once.
struct EndpointNotice {
  std::string endpoint;
  EndpointCondition condition = EndpointCondition::kLeaving;
  std::uint64_t valid_ms = 0;
};

/// Requests that the sender has in progress at endpoints.
struct EndpointUse {
  std::vector<std::string> endpoints;
  std::vector<std::uint32_t> in_progress;
};

/// A request fingerprint that crashed endpoints.
struct CrashNotice {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;
  std::uint64_t valid_ms = 0;
};

/// The sender can no longer deliver an order.
struct OrderDone {
  std::string cell;
  std::string server;
  std::string order;
};

/// The sender holds the right to order engines.
struct LeaseNotice {
  std::string holder;
  std::uint64_t fence = 0;     ///< Rises with each change of the holder.
  std::uint64_t revision = 0;  ///< Version of the stored lease.
  bool released = false;       ///< The sender gave the right up.
};

/// A model that an engine holds, with its adapters.
struct HeldModel {
  std::string model;
  std::vector<std::string> adapters;

  bool operator==(const HeldModel&) const = default;
};

/// What an engine holds, as its orderer knows. `fence` and `number` order the
/// notices of one engine.
struct HoldingsNotice {
  std::string endpoint;
  std::uint64_t boot = 0;
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  std::vector<HeldModel> models;
};

/// When models that requests wait for can be loaded at the earliest, as the
/// orderer of engines expects. Models that are not listed come soon.
struct LoadOutlook {
  std::string service;
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  std::vector<std::string> models;
  std::vector<std::uint32_t> ready_in_ms;  ///< One for each model.
};

using PeerMessage = std::variant<Demand,
                                 DemandAck,
                                 RecordUpdate,
                                 ConfigUpdate,
                                 EndpointNotice,
                                 EndpointUse,
                                 CrashNotice,
                                 OrderDone,
                                 LeaseNotice,
                                 HoldingsNotice,
                                 LoadOutlook>;

}  // namespace tanagerloom

#endif  // PORTS_PEER_MESSAGE_H_
