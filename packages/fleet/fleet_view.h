// Defines FleetView, this node's view of the endpoints: which are registered,
// which models they have loaded, their requests in flight and their health.
#ifndef FLEET_FLEET_VIEW_H_
#define FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint_directory.h"
#include "fleet/endpoint_health.h"
#include "fleet/endpoint_observer.h"
#include "fleet/endpoint_selection.h"
#include "fleet/model_ref.h"
#include "fleet/prompt_speed.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

struct ReportedLoad;

/// This node's view of the fleet, from the directory, notices of other nodes
/// and its own requests.
class FleetView {
 public:
  /// How long the counts of a peer are used after they were received: three
  /// report intervals of a fleet of up to eight nodes. Requests last about as
  /// long, and older counts would send all nodes to the same endpoints.
  static constexpr Duration kPeerUseTimeout = std::chrono::milliseconds(1200);
  /// How long an endpoint gets no requests for a model that it refused as not
  /// loaded; newer notices about it arrive within this time.
  static constexpr Duration kNotLoadedTimeout = std::chrono::milliseconds(500);
  /// How long load estimates are valid. They are announced repeatedly while
  /// requests wait.
  static constexpr Duration kLoadEstimateTimeout =
      std::chrono::milliseconds(1500);

  /// How long a notice from the node that orders an engine takes precedence
  /// over the engine's own entry in the directory. The entry may have been
  /// written before the notice, since entries are written and read about once a
  /// second.
  static constexpr Duration kNoticePrecedence = std::chrono::milliseconds(2500);

  FleetView(std::string data_centre, const Clock& clock);

  EndpointDirectory& directory() { return directory_; }
  const EndpointDirectory& directory() const { return directory_; }

  /// Signalled when a request that found no endpoint may find one.
  EventFlag& changed() { return changed_; }

  /// Takes a notice of an engine's loaded models; one older than the last is
  /// ignored.
  void OnLoadedModels(const LoadedModelsNotice& notice);

  /// Takes a peer's counts of requests in flight.
  void OnPeerUse(const std::string& peer, const EndpointUse& use);

  /// Takes the load estimates of models that are not loaded; ones older than
  /// the last are ignored.
  void OnLoadEstimates(const LoadEstimate& load_estimate);

  /// Returns the estimated time at which a model that waits for the weight
  /// store is loaded; nothing if there is no valid estimate, which means soon.
  std::optional<TimePoint> ReadyAt(const std::string& service,
                                   const std::string& model) const;

  /// Returns the loaded models of an endpoint, from the newest source.
  const LoadedModels& LoadedModelsOf(const EndpointRecord& record) const;

  /// The endpoint refused a request because it has not loaded the model.
  void OnModelNotLoaded(const std::string& id, const ModelRef& model);

  /// An endpoint says that this start of it leaves, whether it is listed or
  /// not. Returns whether this is news.
  bool OnLeaving(const std::string& id, std::uint64_t boot);

  /// An endpoint wants no requests of this node until `until`. Returns whether
  /// this is longer than known.
  bool OnPause(const std::string& id, std::uint64_t boot, TimePoint until);

  /// Returns whether this start of an endpoint may get new requests: it neither
  /// leaves nor wants a pause.
  bool AcceptsRequests(const std::string& id, std::uint64_t boot) const;

  /// If all endpoints of `service` that could run a request for `model` want a
  /// pause, returns when the first of the pauses ends.
  std::optional<TimePoint> PausedUntil(std::string_view service,
                                       const ModelRef& model) const;

  /// Number of endpoints that are listed and get no requests by their own word.
  std::size_t SetAsideCount() const;

  /// Counts a request of this node at an endpoint, until EndUse(), and the
  /// tokens that the endpoint has to read, until EndPrompt().
  void BeginUse(const std::string& id, std::uint32_t prompt_tokens);
  void EndPrompt(const std::string& id, std::uint32_t prompt_tokens);
  void EndUse(const std::string& id);

  /// Requests of this node in flight, by endpoint.
  EndpointUse LocalUse() const;

  /// Returns the number of this node's requests in flight at an endpoint.
  std::uint32_t OwnInFlight(const std::string& id) const;

  EndpointHealth& Health(const std::string& id) { return health_[id]; }

  /// What was learnt from the answers of endpoints.
  EndpointObserver& observer() { return observer_; }

  /// A start of an endpoint reported its load in a response.
  void OnReportedLoad(const std::string& id,
                      std::uint64_t boot,
                      const ReportedLoad& load);

  /// It refused a request because it was full.
  void OnRefused(const std::string& id, std::uint64_t boot);

  /// The first event of a request arrived `delay` after it was sent, for which
  /// `prompt_tokens` were read.
  void OnFirstEvent(const std::string& id,
                    std::uint64_t boot,
                    std::uint32_t prompt_tokens,
                    Duration delay);

  /// It left a request without an answer.
  void OnSilent(const std::string& id, std::uint64_t boot);

  /// It could not be reached, and gets no requests for a backoff.
  void OnUnreachable(const std::string& id, std::uint64_t boot);

  /// The prompt speed of a service's engines, learnt from this node's requests.
  PromptSpeed& PromptSpeedOf(const std::string& service) {
    return prompt_speeds_[service];
  }

  /// Returns the endpoints of `service` that can take a request for `model`
  /// now, except those in `excluded`.
  std::vector<SelectionCandidate> Candidates(
      std::string_view service,
      const ModelRef& model,
      const std::set<std::string>& excluded) const;

  /// Returns whether an endpoint is listed and has loaded `model`.
  bool CanRun(const std::string& id, const ModelRef& model) const;

  /// Adds to candidates what was learnt from the answers of endpoints.
  void AddObservations(std::span<SelectionCandidate> candidates);

  /// Removes the state of endpoints that are gone, and expired state.
  void Prune();

 private:
  /// Requests in flight at one endpoint.
  struct UseCount {
    std::uint32_t requests = 0;
    std::uint32_t prompt_tokens = 0;  ///< Still to be read.
  };
  struct PeerUse {
    std::map<std::string, UseCount, std::less<>> in_flight;
    TimePoint received_at{};
  };
  struct ReceivedNotice {
    LoadedModelsNotice notice;
    LoadedModels models;
    TimePoint received_at{};
  };

  /// The pause that one start of an endpoint asked for.
  struct Pause {
    std::uint64_t boot = 0;
    TimePoint until{};
  };

  /// Returns the record of a start of an endpoint; null if it is unknown.
  const EndpointRecord* FindStart(const std::string& id,
                                  std::uint64_t boot) const;
  bool IsPaused(const EndpointRecord& record) const;
  /// Returns whether an endpoint has loaded `model` and has not just refused
  /// it.
  bool HasLoaded(const EndpointRecord& record, const ModelRef& model) const;
  /// Returns the requests of all nodes in flight at an endpoint.
  UseCount InFlight(const std::string& id) const;
  bool IsMarkedNotLoaded(const std::string& id, const ModelRef& model) const;

  std::string data_centre_;
  const Clock& clock_;
  EndpointDirectory directory_;
  EventFlag changed_;
  /// The latest load estimates of a service.
  struct ServiceLoadEstimates {
    std::uint64_t fence = 0;
    std::uint64_t number = 0;
    TimePoint received_at{};
    std::map<std::string, TimePoint> ready_at;
  };

  std::map<std::string, ServiceLoadEstimates> load_estimates_;
  std::map<std::string, ReceivedNotice, std::less<>> notices_;
  std::map<std::string, PeerUse> peer_use_;
  std::map<std::string, UseCount, std::less<>> local_use_;
  std::map<std::string, EndpointHealth, std::less<>> health_;
  std::map<std::string, Pause, std::less<>> pauses_;
  std::map<std::string, PromptSpeed> prompt_speeds_;
  EndpointObserver observer_;
  std::map<std::pair<std::string, ModelRef>, TimePoint> not_loaded_until_;
};

}  // namespace tanagerloom

#endif  // FLEET_FLEET_VIEW_H_
