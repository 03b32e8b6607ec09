// Defines WaitingTable, which sums up what waits for and uses the services at
// all nodes.
#ifndef FLEET_WAITING_TABLE_H_
#define FLEET_WAITING_TABLE_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// The latest reports of the nodes about waiting requests. The holder of the
/// order lease sums them up for all nodes.
class WaitingTable {
 public:
  /// What a node reported as waiting is out of date after this long.
  static constexpr Duration kNodeTimeout = std::chrono::milliseconds(2500);
  /// Limits on the size of a sum; what waits most is kept.
  static constexpr std::size_t kMaxClasses = 16;
  static constexpr std::size_t kMaxShares = 32;

  /// Takes the report of a node.
  void OnReport(const std::string& node,
                const WaitingReport& report,
                TimePoint now);

  /// Returns the sums of the services for which something waits, and counts
  /// what is served from zero again.
  std::vector<WaitingReport> TakeSums(TimePoint now);

 private:
  /// Customer and priority.
  using ShareKey = std::pair<std::string, std::uint32_t>;

  struct NodeReport {
    WaitingReport report;
    TimePoint received_at{};
  };
  struct Service {
    std::map<std::string, NodeReport> nodes;
    std::map<ShareKey, double> served;  ///< Since the last sum.
  };

  static WaitingReport SumOf(const std::string& name, const Service& service);

  std::map<std::string, Service> services_;
};

/// Returns `sum` without the part of the node that last reported `own`, and
/// that reported `own_served` since the last sum.
WaitingReport WithoutOwn(
    WaitingReport sum,
    const WaitingReport& own,
    const std::map<std::pair<std::string, std::uint32_t>, double>& own_served);

}  // namespace tanagerloom

#endif  // FLEET_WAITING_TABLE_H_
