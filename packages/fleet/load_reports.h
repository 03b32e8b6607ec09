// Defines LoadReports, which estimates the present load and speed of the
// endpoints of one service from what they reported and how they answered.
#ifndef FLEET_LOAD_REPORTS_H_
#define FLEET_LOAD_REPORTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/answer_speed.h"
#include "runtime/clock.h"

namespace tanagerloom {

struct EndpointRecord;
struct ReportedLoad;

/// Estimated load of an endpoint now.
struct ExpectedLoad {
  double others_in_flight = 0;  ///< Requests of other nodes.
  double slowness = 1;  ///< Time that work takes, relative to the usual time.
};

/// The newest report of each endpoint of a service. A report ages: the estimate
/// moves from it to what is known without it, so that one old figure does not
/// send all nodes to the same endpoint, and an endpoint that was not heard for
/// long counts as an average one and not as an idle one.
class LoadReports {
 public:
  /// A queue changes within the time of a few requests.
  static constexpr Duration kCountHalfLife = std::chrono::milliseconds(300);
  /// The speed of a machine changes as fast, but around a value that lasts as
  /// long as the work that shares the machine.
  static constexpr Duration kSlownessHalfLife = std::chrono::seconds(1);
  /// After this time without a report the average load of the service loses
  /// half of its weight in each further one: requests that wait because all
  /// endpoints seem full bring no new reports.
  static constexpr Duration kMeanHalfLife = std::chrono::seconds(1);

  /// An endpoint reported its load at time `at`, while this node had
  /// `own_in_flight` requests there. Returns false if a newer report is known.
  bool OnReport(const EndpointRecord& record,
                const ReportedLoad& load,
                std::uint32_t own_in_flight,
                TimePoint at);

  /// A first event arrived `delay` after a request was sent; an idle endpoint
  /// takes `idle_delay`. Returns the ratio to the usual time of the service's
  /// endpoints.
  double OnFirstEvent(const EndpointRecord& record,
                      Duration delay,
                      Duration idle_delay,
                      TimePoint now);

  /// Returns the estimate for an endpoint; nothing while no endpoint of the
  /// service has reported its load. `known_others` is the number of other
  /// nodes' requests according to these nodes; nothing if they do not tell.
  std::optional<ExpectedLoad> Expect(const EndpointRecord& record,
                                     std::optional<double> known_others,
                                     TimePoint now) const;

  /// Returns whether an endpoint of the service has reported its load.
  bool has_reports() const { return has_reports_; }

  /// Removes the endpoints for which `is_gone` returns true.
  void Prune(const std::function<bool(std::string_view)>& is_gone);

 private:
  struct Endpoint {
    std::uint64_t boot = 0;
    std::optional<TimePoint> reported_at;
    double others_per_slot = 0;
    /// Set once this start of the endpoint reported its slowness.
    std::optional<double> slowness;
    TimePoint slowness_at{};
    AnswerSpeed answers;
  };

  /// Returns the state of this start of an endpoint.
  Endpoint& StateOf(const EndpointRecord& record);
  double SlownessOf(const Endpoint* endpoint, TimePoint now) const;

  std::map<std::string, Endpoint, std::less<>> endpoints_;
  UsualAnswerTime usual_time_;
  bool has_reports_ = false;
  bool has_slowness_ = false;
  /// Averages over the recent reports of all endpoints.
  double mean_others_per_slot_ = 0;
  TimePoint newest_report_at_{};
  double mean_slowness_ = 1;
};

}  // namespace tanagerloom

#endif  // FLEET_LOAD_REPORTS_H_
