#include "registry/fleet_registry.h"

#include <boost/fiber/fiber.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "fleet/fleet_view.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// Interval at which endpoints whose grace time has passed are removed. It is
// part of the time within which a leaving endpoint must get no more requests.
constexpr auto kExpireInterval = std::chrono::milliseconds(100);

}  // namespace

FleetRegistry::FleetRegistry(ObjectCollection& store,
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
                       clock,
                       log,
                       format_.config_collection,
                       timing.config,
                       ConfigHandlers()),
      endpoint_follower_(store,
                         clock,
                         log,
                         format_.endpoint_collection,
                         timing.endpoints,
                         EndpointHandlers()) {}

void FleetRegistry::Start() {
  boost::fibers::fiber([this] { config_follower_.Run(); }).detach();
  boost::fibers::fiber([this] { endpoint_follower_.Run(); }).detach();
  boost::fibers::fiber([this] { ExpireLoop(); }).detach();
}

void FleetRegistry::Stop() {
  stopping_ = true;
  config_follower_.Stop();
  endpoint_follower_.Stop();
}

FollowHandlers FleetRegistry::ConfigHandlers() {
  const auto apply = [this](const CollectionItem& item) {
    if (item.name == format_.config_name) {
      ApplyConfig(item.value, "store");
    }
  };
  return {
      .on_list =
          [apply](const CollectionList& list) {
            for (const auto& it : list.items) {
              apply(it);
            }
          },
      .on_changes =
          [apply](const CollectionChanges& changes) {
            for (const auto& it : changes.changes) {
              if (!it.removed) {
                apply(it.item);
              }
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

void FleetRegistry::ApplyConfig(const std::string& text,
                                std::string_view source) {
  auto config = format_.read_config(text);
  if (!config) {
    log_.Record(events::kEntryIgnored,
                {{"entry", format_.config_name},
                 {"source", source},
                 {"cause", config.assume_error().message}});
    return;
  }
  const auto version = config.assume_value().version;
  const auto current_version = config_ == nullptr ? 0 : config_->config.version;
  if (config_ != nullptr && version <= current_version) {
    return;
  }
  config_ =
      std::make_shared<const ConfigInForce>(std::move(config).assume_value());
  log_.Record(events::kFleetConfigInForce,
              {{"version", version},
               {"previous", current_version},
               {"routes", config_->config.routes.size()},
               {"source", source}});
  peers_.SetConfigVersion(version);
  if (source == "store") {
    AnnounceConfig(text);
  }
  if (on_config_changed_) {
    on_config_changed_();
  }
  view_.changed().Signal();
}

// Sends a new version to all nodes if this node is the first of the live ones.
// It reaches nodes that can reach their peers but not the store.
void FleetRegistry::AnnounceConfig(const std::string& text) {
  const auto live = peers_.LiveIds();
  if (!live.empty() && live.front() == peers_.node_id()) {
    peers_.Broadcast(ConfigUpdate{config_->config.version, 0, text});
  }
}

void FleetRegistry::OnPeerConfig(const std::string& text) {
  ApplyConfig(text, "peer");
}

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
