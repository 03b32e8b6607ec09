#include "registry/fleet_registry.h"

#include <boost/fiber/fiber.hpp>
#include <mutex>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "fleet/fleet_view.h"
#include "ports/peer_network.h"
#include "runtime/runtime.h"
#include "runtime/yield_timer.h"

namespace tanagerloom {

namespace {

// Interval at which endpoints whose grace time has passed are removed. It is
// part of the time within which a leaving endpoint must get no more requests.
constexpr auto kExpireInterval = std::chrono::milliseconds(100);
// Number of checks for a newer configuration of a peer within the time for
// which this node may lag behind.
constexpr int kLagChecks = 4;

// Returns the reachable peer with the newest configuration; one without a
// version if there is none.
Member NewestPeer(const PeerNetwork& peers) {
  Member out;
  for (auto& it : peers.Members()) {
    if (it.reachable && it.vm.id != peers.node_id() &&
        it.config_version > out.config_version) {
      out = std::move(it);
    }
  }
  return out;
}

}  // namespace

FleetRegistry::FleetRegistry(ObjectCollection& store,
                             const StoreEra& era,
                             PeerNetwork& peers,
                             FleetView& view,
                             Clock& clock,
                             EventLog& log,
                             RegistryFormat format,
                             RegistryTiming timing)
    : peers_(peers),
      view_(view),
      clock_(clock),
      log_(log),
      format_(std::move(format)),
      config_follower_(store,
                       era,
                       clock,
                       log,
                       format_.config_collection,
                       timing.config,
                       ConfigHandlers()),
      endpoint_follower_(store,
                         era,
                         clock,
                         log,
                         format_.endpoint_collection,
                         timing.endpoints,
                         EndpointHandlers()),
      max_config_lag_(timing.max_config_lag) {}

void FleetRegistry::Start() {
  boost::fibers::fiber([this] { config_follower_.Run(); }).detach();
  boost::fibers::fiber([this] { endpoint_follower_.Run(); }).detach();
  boost::fibers::fiber([this] { ExpireLoop(); }).detach();
  boost::fibers::fiber([this] { CatchUpLoop(); }).detach();
}

void FleetRegistry::Stop() {
  stopping_ = true;
  config_follower_.Stop();
  endpoint_follower_.Stop();
}

FollowHandlers FleetRegistry::ConfigHandlers() {
  return {
      .on_list =
          [this](const CollectionList& list) {
            for (const auto& it : list.items) {
              if (it.name == format_.config_name) {
                ApplyConfig(it.value, "store");
              }
            }
          },
      .on_changes =
          [this](const CollectionChanges& changes) {
            // Only the latest of several versions is decoded.
            const CollectionItem* latest = nullptr;
            for (const auto& it : changes.changes) {
              if (!it.removed && it.item.name == format_.config_name) {
                latest = &it.item;
              }
            }
            if (latest != nullptr) {
              ApplyConfig(latest->value, "store");
            }
          },
      .on_unavailable = [this] { config_unavailable_ = true; },
      .on_available = [this] { config_unavailable_ = false; },
  };
}

FollowHandlers FleetRegistry::EndpointHandlers() {
  return {
      .on_list = [this](const CollectionList& list) { ApplyEndpoints(list); },
      .on_changes =
          [this](const CollectionChanges& changes) {
            ApplyEndpointChanges(changes);
          },
      .on_unavailable =
          [this] {
            endpoints_unavailable_ = true;
            view_.directory().OnListUnavailable();
          },
      .on_available =
          [this] {
            endpoints_unavailable_ = false;
            view_.directory().OnListAvailable(clock_.Now());
          },
  };
}

std::uint64_t FleetRegistry::ConfigVersion() const {
  return config_ == nullptr ? 0 : config_->config.version;
}

void FleetRegistry::ApplyConfig(std::string text, std::string_view source) {
  const std::unique_lock lock(apply_mutex_);
  YieldTimer timer(Runtime::Get().io());
  const auto checkpoint = timer.MakeCheckpoint();
  // Keeps the parts that the new version takes over.
  const auto previous = config_;
  auto config = format_.read_config(
      std::make_shared<const std::string>(std::move(text)),
      previous == nullptr ? nullptr : &previous->config, checkpoint);
  if (!config) {
    log_.Record(events::kEntryIgnored,
                {{"entry", format_.config_name},
                 {"source", source},
                 {"cause", config.assume_error().message}});
    return;
  }
  PutInForce(std::move(config).assume_value(), checkpoint, source);
}

void FleetRegistry::PutInForce(FleetConfig config,
                               const Checkpoint& checkpoint,
                               std::string_view source) {
  const auto version = config.version;
  const auto current_version = ConfigVersion();
  if (config_ != nullptr && version <= current_version) {
    return;
  }
  config_ =
      std::make_shared<const ConfigInForce>(std::move(config), checkpoint);
  log_.Record(events::kFleetConfigInForce,
              {{"version", version},
               {"previous", current_version},
               {"routes", config_->config.routes.size()},
               {"customers", config_->customers.size()},
               {"source", source}});
  peers_.SetConfigVersion(version);
  if (on_config_changed_) {
    on_config_changed_();
  }
  view_.changed().Signal();
}

// ---- configuration from peers

void FleetRegistry::CatchUpLoop() {
  while (!stopping_) {
    clock_.SleepFor(max_config_lag_ / kLagChecks);
    CatchUp();
  }
}

// Every node reads the configuration from the store. Peers send it only to a
// node that cannot, since a large configuration takes long on a small VM's
// link.
void FleetRegistry::CatchUp() {
  const auto newest = NewestPeer(peers_);
  const auto now = clock_.Now();
  if (newest.config_version <= ConfigVersion()) {
    lagging_since_.reset();
    return;
  }
  if (!lagging_since_) {
    lagging_since_ = now;
  }
  if (config_unavailable_ || now - *lagging_since_ >= max_config_lag_) {
    // The peer has as long to answer before it is asked again.
    lagging_since_ = now;
    (void)peers_.Send(newest.vm.id, ConfigRequest{ConfigVersion()});
  }
}

bool FleetRegistry::IsBehindPeers() const {
  return NewestPeer(peers_).config_version > ConfigVersion();
}

void FleetRegistry::OnPeerConfig(const ConfigUpdate& update) {
  if (update.version > ConfigVersion()) {
    ApplyConfig(update.root, "peer");
  }
}

void FleetRegistry::OnConfigRequest(const std::string& peer,
                                    const ConfigRequest& request) {
  if (config_ != nullptr && request.known_version < ConfigVersion()) {
    const auto& config = config_->config;
    (void)peers_.Send(peer, ConfigUpdate{config.version, 0, *config.text});
  }
}

// ---- endpoints

void FleetRegistry::ApplyEndpoints(const CollectionList& list) {
  std::vector<EndpointRecord> records;
  for (const auto& it : list.items) {
    auto record = format_.read_endpoint(it);
    if (record) {
      records.push_back(std::move(record).assume_value());
      continue;
    }
    log_.Record(events::kEntryIgnored,
                {{"entry", it.name}, {"cause", record.assume_error().message}});
  }
  PublishChange(view_.directory().Replace(std::move(records), clock_.Now()));
  endpoints_known_ = true;
}

void FleetRegistry::ApplyEndpointChanges(const CollectionChanges& changes) {
  for (const auto& it : changes.changes) {
    if (it.removed) {
      PublishChange(view_.directory().Remove(it.item.name, clock_.Now()));
      continue;
    }
    auto record = format_.read_endpoint(it.item);
    if (record) {
      PublishChange(view_.directory().Update(std::move(record).assume_value(),
                                             clock_.Now()));
      continue;
    }
    log_.Record(
        events::kEntryIgnored,
        {{"entry", it.item.name}, {"cause", record.assume_error().message}});
    PublishChange(view_.directory().Remove(it.item.name, clock_.Now()));
  }
}

void FleetRegistry::PublishChange(const DirectoryChange& change) {
  for (const auto& it : change.listed) {
    const auto* record = view_.directory().Find(it);
    log_.Record(events::kEndpointListed, {{"endpoint", it},
                                          {"service", record->service},
                                          {"entry", record->entry_sequence},
                                          {"models", record->models.size()}});
  }
  for (const auto& it : change.draining) {
    log_.Record(events::kEndpointDraining, {{"endpoint", it}});
  }
  for (const auto& it : change.gone) {
    log_.Record(events::kEndpointGone, {{"endpoint", it}});
  }
  if (!change.empty()) {
    view_.Prune();
    view_.changed().Signal();
  }
}

void FleetRegistry::ExpireLoop() {
  while (!stopping_) {
    clock_.SleepFor(kExpireInterval);
    PublishChange(view_.directory().Expire(clock_.Now()));
  }
}

}  // namespace tanagerloom
