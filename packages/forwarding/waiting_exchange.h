// Defines WaitingExchange, through which the nodes tell each other what waits
// for and uses the services.
#ifndef FORWARDING_WAITING_EXCHANGE_H_
#define FORWARDING_WAITING_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "fleet/waiting_table.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

class PeerNetwork;
class WaitingLists;

/// The node that sums up the reports, as this node knows it.
struct WaitingCollector {
  std::string node;  ///< Empty if there is none.
  std::uint64_t fence = 0;
};

/// Dependencies of WaitingExchange; they must outlive it.
struct WaitingExchangeDependencies {
  WaitingLists& lists;
  PeerNetwork& peers;
  const Clock& clock;
  /// Returns whether the configuration has customers.
  std::function<bool()> has_customers;
  /// Returns the holder of the order lease.
  std::function<WaitingCollector()> collector;
};

/// Reports what waits at this node to the holder of the order lease, which
/// broadcasts the sums, and applies these to the waiting lists. Sends nothing
/// while nothing waits, or without customers. A node that hears nothing serves
/// its own requests as if it were alone.
class WaitingExchange {
 public:
  /// Interval of reports and summaries.
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /// How long a summary holds.
  static constexpr Duration kSummaryTimeout = std::chrono::milliseconds(2500);

  explicit WaitingExchange(WaitingExchangeDependencies deps)
      : deps_(std::move(deps)) {}

  /// Sends what is due; call it once per kInterval.
  void Exchange();

  void OnReport(const std::string& node, const WaitingReport& report);
  void OnSummary(const WaitingSummary& summary);

 private:
  using Served = std::map<std::pair<std::string, std::uint32_t>, double>;

  /// What this node reported about a service.
  struct OwnReport {
    WaitingReport last;
    Served served;  ///< Since the last summary.
    TimePoint summary_at = TimePoint::min();
  };

  void Report(const WaitingCollector& collector, const WaitingReport& report);
  void SendSummaries(std::uint64_t fence);
  /// Returns whether a summary of the service is valid: something waits.
  bool IsSummaryValid(const OwnReport& own) const;

  WaitingExchangeDependencies deps_;
  WaitingTable table_;
  std::map<std::string, OwnReport> own_;  ///< By service.
  std::uint64_t last_number_ = 0;         ///< Of the summaries sent.
  /// Fence and number of the newest summary of each service.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> newest_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_WAITING_EXCHANGE_H_
