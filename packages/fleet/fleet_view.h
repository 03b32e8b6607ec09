// Defines FleetView, what a node believes of the endpoints: who is registered,
// what each holds, what runs there, and how reliable it is.
#ifndef FLEET_FLEET_VIEW_H_
#define FLEET_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint_directory.h"
#include "fleet/endpoint_health.h"
#include "fleet/endpoint_selection.h"
#include "fleet/model_ref.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// The node's view of the fleet.
class FleetView {
 public:
  /// Counts of a peer are used for this long after they came: five intervals of
  /// up to eight nodes. More nodes tell them less often; old counts would send
  /// all nodes to the same endpoints.
  static constexpr Duration kPeerUseTimeout = std::chrono::seconds(2);
  /// An endpoint that denied holding a model is not asked for it again for this
  /// long, in which newer news of it arrive.
  static constexpr Duration kNotLoadedTimeout = std::chrono::milliseconds(500);
  /// An outlook is told again while requests wait; an older one does not count.
  static constexpr Duration kLoadEstimateTimeout =
      std::chrono::milliseconds(1500);

  /// A description of an endpoint's own is believed against its orderer's
  /// notice only if it came this much later: it may have been written before,
  /// and descriptions are written and read in intervals of a second or so.
  static constexpr Duration kNoticePrecedence = std::chrono::milliseconds(2500);

  FleetView(std::string data_centre, const Clock& clock);

  EndpointDirectory& directory() { return directory_; }
  const EndpointDirectory& directory() const { return directory_; }

  /// Signalled when a request that found no endpoint may find one.
  EventFlag& changed() { return changed_; }

  /// Takes news of what an engine holds; older ones are ignored.
  void OnLoadedModels(const HoldingsNotice& notice);

  /// Takes a peer's counts of requests in flight.
  void OnPeerUse(const std::string& peer, const EndpointUse& use);

  /// Takes the times at which missing models can be loaded.
  void OnLoadEstimates(const LoadOutlook& outlook);

  /// The earliest time at which a missing model can be loaded, if that is known
  /// to be later than soon.
  std::optional<TimePoint> ReadyAt(const std::string& service,
                                   const std::string& model) const;

  /// What an endpoint holds, by the newest source.
  const LoadedModels& LoadedModelsOf(const EndpointRecord& record) const;

  /// The endpoint refused a request because it does not hold the model.
  void OnModelNotLoaded(const std::string& id, const ModelRef& model);

  /// Counts a request of this node at an endpoint.
  void BeginUse(const std::string& id);
  void EndUse(const std::string& id);

  /// Requests of this node in flight, by endpoint.
  EndpointUse LocalUse() const;

  EndpointHealth& Health(const std::string& id) { return health_[id]; }

  /// Endpoints of `service` that can take a request for `model` now, without
  /// those in `excluded`.
  std::vector<EndpointCandidate> Candidates(
      std::string_view service,
      const ModelRef& model,
      const std::set<std::string>& excluded) const;

  /// Forgets what is known of endpoints that are gone.
  void Prune();

 private:
  struct PeerUse {
    std::map<std::string, std::uint32_t, std::less<>> in_flight;
    TimePoint received_at{};
  };
  struct ReceivedNotice {
    HoldingsNotice notice;
    LoadedModels models;
    TimePoint received_at{};
  };

  bool HasLoaded(const EndpointRecord& record, const ModelRef& model) const;
  std::uint32_t InFlight(const std::string& id) const;
  bool IsMarkedNotLoaded(const std::string& id, const ModelRef& model) const;

  std::string data_centre_;
  const Clock& clock_;
  EndpointDirectory directory_;
  EventFlag changed_;
  /// The last outlook of a service.
  struct ServiceLoadEstimates {
    std::uint64_t fence = 0;
    std::uint64_t number = 0;
    TimePoint received_at{};
    std::map<std::string, TimePoint> ready_at;
  };

  std::map<std::string, ServiceLoadEstimates> load_estimates_;
  std::map<std::string, ReceivedNotice, std::less<>> notices_;
  std::map<std::string, PeerUse> peer_use_;
  std::map<std::string, std::uint32_t, std::less<>> local_use_;
  std::map<std::string, EndpointHealth, std::less<>> health_;
  std::map<std::pair<std::string, ModelRef>, TimePoint> not_loaded_until_;
};

}  // namespace tanagerloom

#endif  // FLEET_FLEET_VIEW_H_
