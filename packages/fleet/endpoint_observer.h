// Defines EndpointObserver, which learns from the answers of endpoints how
// loaded and how fast they are, and paces those that start or recover.
#ifndef FLEET_ENDPOINT_OBSERVER_H_
#define FLEET_ENDPOINT_OBSERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/endpoint_pace.h"
#include "fleet/load_reports.h"
#include "runtime/clock.h"

namespace tanagerloom {

struct SelectionCandidate;
struct EndpointRecord;
struct ReportedLoad;

/// The start or end of the pace of an endpoint.
struct PaceChange {
  std::string endpoint;
  std::uint64_t boot = 0;
  bool paced = false;
  PaceCause cause = PaceCause::kStart;
};

/// What this node has learnt from the answers of each endpoint. Does nothing
/// for services whose endpoints do not report their load.
class EndpointObserver {
 public:
  /// An endpoint that started longer ago has been started by other nodes when
  /// this node first sees it.
  static constexpr Duration kRecentStart = std::chrono::seconds(10);

  explicit EndpointObserver(const Clock& clock) : clock_(clock) {}

  /// Sets the node that shares endpoints with others, and how many nodes there
  /// are. Without, this node is alone.
  void SetNodes(std::string node, std::function<std::size_t()> count);

  /// Calls `handler` at each change of a pace.
  void OnPaceChanged(std::function<void(const PaceChange&)> handler) {
    on_changed_ = std::move(handler);
  }

  /// Calls `handler` at each report that this node gets from an endpoint.
  void OnReported(
      std::function<void(const EndpointRecord&, const ReportedLoad&)> handler) {
    on_reported_ = std::move(handler);
  }

  /// An endpoint reported its load to this node.
  void OnReport(const EndpointRecord& record,
                const ReportedLoad& load,
                std::uint32_t own_in_flight);

  /// An endpoint reported its load to another node at time `at`. Returns false
  /// if a newer report is known.
  bool OnSharedReport(const EndpointRecord& record,
                      const ReportedLoad& load,
                      std::uint32_t own_in_flight,
                      TimePoint at);

  /// A first event arrived `delay` after its request was sent; an idle endpoint
  /// takes `idle_delay`.
  void OnFirstEvent(const EndpointRecord& record,
                    Duration delay,
                    Duration idle_delay);

  /// An endpoint refused a request because it was full.
  void OnRefused(const EndpointRecord& record);

  /// An endpoint left a request without an answer.
  void OnSilent(const EndpointRecord& record);

  /// An endpoint could not be reached and gets no requests until `until`.
  void OnUnreachable(const EndpointRecord& record, TimePoint until);

  /// An endpoint wants no requests until `until`.
  void OnPause(const EndpointRecord& record, TimePoint until);

  /// Returns whether endpoints of a service have reported their load.
  bool HasReports(std::string_view service) const;

  /// Returns whether an endpoint of any service has reported its load.
  bool has_any_reports() const { return !reports_.empty(); }

  /// Adds what was learnt to a candidate. `own` counts this node's requests in
  /// flight there; `known_others` those of other nodes, if they tell.
  void Describe(SelectionCandidate& candidate,
                std::uint32_t own,
                std::optional<double> known_others);

  /// Returns the number of endpoints that are paced.
  std::size_t PacedCount() const;

  /// Returns how many requests endpoints have refused because they were full.
  std::uint64_t refusals() const { return refusals_; }

  /// Removes the endpoints for which `is_gone` returns true.
  void Prune(const std::function<bool(std::string_view)>& is_gone);

 private:
  struct PacedStart {
    std::uint64_t boot = 0;
    double rank = 0;  ///< Of this node for the endpoint.
    EndpointPace pace;
  };

  /// Returns the pace of this start of an endpoint; a new start begins one.
  PacedStart& PaceOf(const EndpointRecord& record);
  bool StartedRecently(const EndpointRecord& record) const;
  /// Returns the number of nodes as of a short time ago; counting them takes
  /// longer than the rest of a choice.
  std::size_t NodeCount();
  PaceShare ShareOf(const EndpointRecord& record, const PacedStart& start);
  void NotifyChange(const EndpointRecord& record, const EndpointPace& pace);

  const Clock& clock_;
  std::string node_;
  std::function<std::size_t()> count_nodes_;
  std::size_t node_count_ = 1;
  std::optional<TimePoint> counted_at_;
  std::function<void(const PaceChange&)> on_changed_;
  std::function<void(const EndpointRecord&, const ReportedLoad&)> on_reported_;
  std::map<std::string, LoadReports, std::less<>> reports_;  ///< By service.
  std::map<std::string, PacedStart, std::less<>> paces_;
  std::uint64_t refusals_ = 0;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_OBSERVER_H_
