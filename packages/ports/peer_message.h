// Defines the messages that nodes exchange, independent of their encoding.
#ifndef PORTS_PEER_MESSAGE_H_
#define PORTS_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace tanagerloom {

/// Requests waiting and running on the sender for one model or adapter.
struct DemandEntry {
  std::string model;
  std::string version;
  std::string adapter;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  std::uint32_t rank = 0;  ///< Best precedence rank of the waiting requests.
  /// Time until the earliest deadline of the waiting requests; 0 if none waits.
  std::uint64_t earliest_deadline_ms = 0;
  std::uint32_t arrivals = 0;  ///< Requests since the last demand message.
  /// Prompt tokens that engines were sent to read since the last demand
  /// message.
  std::uint64_t prompt_tokens = 0;
};

/// The sender's demand for the models of a cell. A model without further demand
/// is listed once more, with zeros.
struct Demand {
  std::string cell;
  std::uint64_t number = 0;  ///< Rises with each demand message of a sender.
  std::vector<DemandEntry> entries;
};

/// Acknowledges that the coordinator has processed a demand.
struct DemandAck {
  std::string cell;
  std::uint64_t number = 0;  ///< Number of the acknowledged demand.
};

/// A newer placement record of a cell.
struct RecordUpdate {
  std::string cell;
  std::uint64_t object_version = 0;  ///< Version of the stored record.
  std::string record;                ///< Placement record as JSON.
};

/// A newer configuration root.
struct ConfigUpdate {
  std::uint64_t version = 0;         ///< Configuration version.
  std::uint64_t object_version = 0;  ///< Version of the stored root object.
  std::string root;                  ///< Configuration root as JSON.
};

/// Requests the receiver's configuration if it is newer than `known_version`.
struct ConfigRequest {
  std::uint64_t known_version = 0;  ///< In force at the sender; 0 if none is.
};

/// What a node has observed at an endpoint.
enum class EndpointCondition : std::uint8_t {
  kLeaving,
  kOverloaded,
  kFailing,
  kRecovered,
  kProbing,
};

/// Announces the condition of an endpoint to the other nodes without delay.
struct EndpointNotice {
  std::string endpoint;
  EndpointCondition condition = EndpointCondition::kLeaving;
  std::uint64_t valid_ms = 0;  ///< For how long the notice is valid.
  /// Start of the endpoint that the notice is about; 0 if it is about any.
  std::uint64_t boot = 0;
};

/// The requests that the sender has in flight at each endpoint. The lists have
/// the same order.
struct EndpointUse {
  std::vector<std::string> endpoints;
  std::vector<std::uint32_t> in_progress;  ///< Numbers of requests.
  /// Prompt tokens of requests whose first event has not arrived.
  std::vector<std::uint32_t> prompt_tokens;
};

/// A crash of an endpoint that ran a request.
struct ObservedCrash {
  std::uint64_t id = 0;  ///< Of the run that ended, or of the endpoint's start.
  std::uint32_t age_ms = 0;

  bool operator==(const ObservedCrash&) const = default;
};

/// The fingerprint of a request, or of a part of its prompt, that crashed
/// endpoints.
struct CrashNotice {
  std::uint64_t fingerprint = 0;
  std::uint32_t crashes = 0;   ///< Number of crashes so far.
  std::uint64_t valid_ms = 0;  ///< For how long the notice is valid.
  bool prompt_part = false;
  /// The crashes that the sender knows of, its own and those of its peers.
  /// Empty if it stores its counts.
  std::vector<ObservedCrash> observed{};
};

/// The sender can no longer deliver an order: its sending has ended.
struct OrderDone {
  std::string cell;
  std::string engine;
  std::string order;  ///< Id of the order.
};

/// Announces that the sender holds or has released the order lease.
struct LeaseNotice {
  std::string holder;          ///< Id of the lease holder.
  std::uint64_t fence = 0;     ///< Rises with each change of the lease holder.
  std::uint64_t revision = 0;  ///< Version of the stored lease.
  bool released = false;       ///< The sender has released the lease.
  std::uint32_t era = 0;       ///< Era of the store in which it was written.
};

/// A model loaded on an engine, with its loaded adapters.
struct LoadedModel {
  std::string model;
  std::vector<std::string> adapters;

  bool operator==(const LoadedModel&) const = default;
};

/// The models loaded on an engine, as the holder of the order lease knows them.
/// `fence` and then `number` order the notices about one engine.
struct LoadedModelsNotice {
  std::string endpoint;     ///< Id of the engine.
  std::uint64_t boot = 0;   ///< Boot of the engine that the notice is about.
  std::uint64_t fence = 0;  ///< Fencing token of the lease holder.
  std::uint64_t number = 0;
  std::vector<LoadedModel> models;
};

/// The earliest times at which models that requests wait for can be loaded, as
/// the holder of the order lease estimates. A model that is not listed is
/// expected to be loaded soon. `fence` and then `number` order the estimates.
struct LoadEstimate {
  std::string service;
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  std::vector<std::string> models;
  std::vector<std::uint32_t> ready_in_ms;  ///< Times, in the order of `models`.
};

/// What the sender needs of one customer's quota. Amounts are in units.
struct QuotaNeed {
  std::uint64_t customer = 0;  ///< StableHash of its name.
  float held = 0;              ///< Granted and not charged.
  float pending = 0;           ///< Charged to requests that are not sent yet.
  float returned = 0;          ///< Of earlier grants, no longer needed.
  float wanted = 0;            ///< For requests that are expected.
  float urgent = 0;            ///< For requests that wait for a grant.
};

/// Reports to the quota coordinator. Customers that are not listed need and
/// hold nothing.
struct QuotaReport {
  std::uint64_t number = 0;      ///< Rises with each report of a sender.
  std::uint64_t last_grant = 0;  ///< Number of the last grant; 0 without one.
  /// The sender assigns its part of all quotas to the receiver, and to no other
  /// node for `vote_ms`. A report without a vote ends the assignment.
  bool votes = false;
  std::uint32_t vote_ms = 0;
  std::vector<QuotaNeed> needs;
};

/// What the quota coordinator grants of one customer's quota.
struct QuotaAllowance {
  std::uint64_t customer = 0;
  float granted = 0;  ///< In units.
  /// Time until the quota has room for what nodes ask for; 0 if the urgent need
  /// is granted.
  std::uint32_t room_ms = 0;
};

/// Answers a quota report.
struct QuotaGrant {
  std::uint64_t number = 0;    ///< Rises with each grant of a sender.
  std::uint64_t report = 0;    ///< The answered report; 0 if there is none.
  bool reply_at_once = false;  ///< Asks for a report without delay.
  std::vector<QuotaAllowance> allowances;
};

/// Requests that wait for a place at the endpoints of one target.
struct WaitingClass {
  std::string model;  ///< "MODEL" or "MODEL/ADAPTER"; empty without a model.
  std::uint32_t priority = 0;
  std::uint32_t waiting = 0;

  bool operator==(const WaitingClass&) const = default;
};

/// What one customer waits for and used of a service, by priority.
struct CustomerShare {
  std::string customer;
  std::uint32_t priority = 0;
  std::uint32_t waiting = 0;
  double served = 0;  ///< Cost of the requests sent since the last message.

  bool operator==(const CustomerShare&) const = default;
};

/// What waits for and uses a service at the sender.
struct WaitingReport {
  std::string service;
  std::vector<WaitingClass> classes;
  std::vector<CustomerShare> shares;

  bool operator==(const WaitingReport&) const = default;
};

/// The reports of all nodes about a service, summed up by the holder of the
/// order lease. Lists only the first waiting class of each target. `fence` and
/// then `number` order the summaries.
struct WaitingSummary {
  std::uint64_t fence = 0;
  std::uint64_t number = 0;
  WaitingReport sum;

  bool operator==(const WaitingSummary&) const = default;
};

/// The load that one start of an endpoint reported.
struct SharedLoad {
  std::uint64_t endpoint_start = 0;  ///< Hash of the endpoint's id and boot.
  std::uint32_t in_flight = 0;       ///< Running and waiting, of all nodes.
  /// Time that work takes, in hundredths of the usual time; 0 if not reported.
  std::uint32_t slowness_hundredths = 0;
  std::uint32_t age_ms = 0;

  bool operator==(const SharedLoad&) const = default;
};

/// How far the loads of a message have come.
enum class LoadSharingStage : std::uint8_t {
  kToHub,        ///< From the node that got the reports.
  kBetweenHubs,  ///< From the hub of another data centre.
  kToMembers,    ///< From the hub of the receiver's data centre.
};

/// Loads that endpoints reported in responses.
struct SharedLoads {
  LoadSharingStage stage = LoadSharingStage::kToHub;
  std::vector<SharedLoad> loads;
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
                                 LoadedModelsNotice,
                                 LoadEstimate,
                                 ConfigRequest,
                                 QuotaReport,
                                 QuotaGrant,
                                 WaitingReport,
                                 WaitingSummary,
                                 SharedLoads>;

}  // namespace tanagerloom

#endif  // PORTS_PEER_MESSAGE_H_
