// Defines QuotaGate, which admits the requests of customers with a quota, and
// keeps the quotas together with the other nodes.
#ifndef FORWARDING_QUOTA_GATE_H_
#define FORWARDING_QUOTA_GATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "fleet/quota_pool.h"
#include "fleet/quota_reserve.h"
#include "fleet/quota_share.h"
#include "forwarding/quota_charge.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class Clock;
class EventLog;
class FleetRegistry;
class PeerNetwork;
struct ConfigInForce;
struct Customer;
struct QuotaGrant;
struct QuotaReport;

/// Why a request is refused.
enum class QuotaRefusal {
  kOverQuota,  ///< The coordinator said that there is no room.
  kNoAnswer,   ///< No coordinator answered in time.
  kTooLarge,   ///< The request alone is more than the quota allows.
};

/// Returns the reason in logs.
std::string_view ToString(QuotaRefusal refusal);

/// A refused request.
struct QuotaRefused {
  QuotaRefusal reason = QuotaRefusal::kOverQuota;
  /// Delay after which the customer has room, spread over its clients.
  std::chrono::milliseconds retry_after{0};
};

/// Outcome of the admission of a request.
using QuotaDecision = std::variant<QuotaCharge, QuotaRefused>;

/// Units that this node charged and refused since its start, over all
/// customers.
struct QuotaCounts {
  double granted = 0;
  double charged = 0;
  std::uint64_t over_quota = 0;  ///< Refused requests.
  std::uint64_t no_answer = 0;
  std::uint64_t too_large = 0;
};

/// Admits requests, and exchanges reports and grants with the quota
/// coordinator. The coordinator is the live node with the highest hash; any
/// node may be it. Without limited customers in the configuration, it admits
/// all requests and sends nothing.
class QuotaGate {
 public:
  QuotaGate(PeerNetwork& peers,
            const FleetRegistry& registry,
            Clock& clock,
            EventLog& log,
            QuotaReserve reserve);

  /// Charges a request to its customer's quota. If this node holds too few
  /// units, waits shortly for the coordinator, unless it has just said that
  /// there is no room.
  QuotaDecision Admit(const Customer& customer, double cost);

  /// Sends reports until Stop(). Call it on a fiber.
  void Run();
  void Stop();

  /// Take messages of peers. `from` is "NODE/INCARNATION".
  void OnReport(const std::string& from, const QuotaReport& report);
  void OnGrant(const std::string& from, const QuotaGrant& grant);

  const QuotaCounts& counts() const { return counts_; }

  /// Returns the part of all nodes that this node grants for, from 0 to 1.
  double VoteShare() const;

 private:
  /// Takes over a new configuration.
  void Refresh();
  bool IsActive() const { return !limits_.empty(); }
  /// Chooses the coordinator among the live nodes.
  void ChooseCoordinator(TimePoint now);
  /// Reports to the coordinator.
  void Report();
  /// Asks a node to confirm its vote, if that is due.
  void SendPoll();
  /// Takes a grant; returns whether a report is to follow at once.
  bool Take(const std::string& from, const QuotaGrant& grant);
  /// Waits until the request is charged; returns false if it is not to wait
  /// longer.
  bool AwaitGrant(std::uint64_t id, double cost);
  QuotaRefused Refuse(const Customer& customer, double cost);
  /// Records that requests of a customer begin or cease to be refused.
  void RecordState(const Customer& customer, bool exhausted);

  PeerNetwork& peers_;
  const FleetRegistry& registry_;
  Clock& clock_;
  EventLog& log_;
  QuotaReserve reserve_;
  QuotaTable limits_;
  std::shared_ptr<const ConfigInForce> config_;
  /// Shared with the charges of requests, which may outlive the gate.
  std::shared_ptr<QuotaShare> share_;
  QuotaPool pool_;
  QuotaCounts counts_;
  /// Nodes that did not answer as coordinator.
  std::map<std::string, TimePoint> avoided_until_;
  /// Customers whose requests are refused, and when one last was.
  std::map<std::string, TimePoint> exhausted_;
  EventFlag wake_;      ///< Signalled when a report is due earlier.
  EventFlag answered_;  ///< Signalled when a grant arrives.
  bool stopping_ = false;
};

}  // namespace tanagerloom

#endif  // FORWARDING_QUOTA_GATE_H_
