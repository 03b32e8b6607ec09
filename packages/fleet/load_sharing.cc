#include "fleet/load_sharing.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/id.h"
#include "fleet/endpoint_record.h"
#include "fleet/fleet_view.h"
#include "fleet/reported_load.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

constexpr double kHundredths = 100;

std::uint64_t StartHash(const EndpointRecord& record) {
  StableHasher hasher;
  hasher.Add(record.id);
  hasher.Add("\n");
  hasher.Add(std::to_string(record.boot));
  return hasher.Value();
}

// Returns the preference for a node as the hub of its data centre.
std::uint64_t HubHash(std::string_view node) {
  StableHasher hasher;
  hasher.Add("load hub\n");
  hasher.Add(node);
  return hasher.Value();
}

ReportedLoad ToReport(const SharedLoad& load, const EndpointRecord& record) {
  ReportedLoad out;
  out.running = load.in_flight;
  out.slots = record.slots;
  if (load.slowness_hundredths > 0) {
    out.slowness = load.slowness_hundredths / kHundredths;
  }
  return out;
}

}  // namespace

LoadSharing::LoadSharing(FleetView& view,
                         PeerNetwork& peers,
                         const Clock& clock,
                         std::string data_centre)
    : view_(view),
      peers_(peers),
      clock_(clock),
      data_centre_(std::move(data_centre)) {
  view_.observer().OnReported(
      [this](const EndpointRecord& record, const ReportedLoad& load) {
        OnReported(record, load);
      });
}

void LoadSharing::OnReported(const EndpointRecord& record,
                             const ReportedLoad& load) {
  SharedLoad out;
  out.endpoint_start = StartHash(record);
  out.in_flight = load.running + load.waiting;
  if (load.slowness) {
    out.slowness_hundredths =
        static_cast<std::uint32_t>(std::lround(*load.slowness * kHundredths));
  }
  unsent_[out.endpoint_start] = {out, LoadSharingStage::kToHub, clock_.Now()};
}

// ---- receiving

std::map<std::uint64_t, const EndpointRecord*> LoadSharing::EndpointsByStart()
    const {
  std::map<std::uint64_t, const EndpointRecord*> out;
  for (const auto& [id, record] : view_.directory().records()) {
    out.emplace(StartHash(record), &record);
  }
  return out;
}

void LoadSharing::OnLoads(const SharedLoads& loads) {
  const auto endpoints = EndpointsByStart();
  const auto now = clock_.Now();
  for (const auto& it : loads.loads) {
    const auto endpoint = endpoints.find(it.endpoint_start);
    const std::chrono::milliseconds age(it.age_ms);
    if (endpoint == endpoints.end() || age > kMaxAge) {
      continue;
    }
    const auto& record = *endpoint->second;
    const bool is_news = view_.observer().OnSharedReport(
        record, ToReport(it, record), view_.OwnInFlight(record.id), now - age);
    if (is_news && is_hub_ && loads.stage != LoadSharingStage::kToMembers) {
      unsent_[it.endpoint_start] = {it, loads.stage, now - age};
    }
  }
}

// ---- sending

LoadSharing::Topology LoadSharing::FindTopology() const {
  Topology out;
  const auto live_ids = peers_.LiveIds();
  const std::set<std::string_view> live(live_ids.begin(), live_ids.end());
  out.live_nodes = live.size();
  for (const auto& it : peers_.Members()) {
    if (!live.contains(it.vm.id)) {
      continue;
    }
    if (it.vm.data_centre == data_centre_) {
      out.members.push_back(it.vm.id);
    }
    auto& hub = out.hubs[it.vm.data_centre];
    if (hub.empty() || HubHash(it.vm.id) > HubHash(hub)) {
      hub = it.vm.id;
    }
  }
  return out;
}

bool LoadSharing::IsHub(const Topology& topology) const {
  const auto it = topology.hubs.find(data_centre_);
  return it != topology.hubs.end() && it->second == peers_.node_id();
}

std::vector<SharedLoad> LoadSharing::UnsentUpTo(LoadSharingStage limit) const {
  const auto now = clock_.Now();
  std::vector<SharedLoad> out;
  for (const auto& [start, it] : unsent_) {
    const auto age =
        std::chrono::ceil<std::chrono::milliseconds>(now - it.reported_at);
    if (it.stage <= limit && age <= kMaxAge) {
      out.push_back(it.load);
      out.back().age_ms = static_cast<std::uint32_t>(age.count());
    }
  }
  return out;
}

void LoadSharing::SendFromHub(const Topology& topology) {
  const SharedLoads own{LoadSharingStage::kBetweenHubs,
                        UnsentUpTo(LoadSharingStage::kToHub)};
  const SharedLoads all{LoadSharingStage::kToMembers,
                        UnsentUpTo(LoadSharingStage::kBetweenHubs)};
  for (const auto& [data_centre, hub] : topology.hubs) {
    if (data_centre != data_centre_ && !own.loads.empty()) {
      (void)peers_.Send(hub, own);
    }
  }
  for (const auto& it : topology.members) {
    if (it != peers_.node_id() && !all.loads.empty()) {
      (void)peers_.Send(it, all);
    }
  }
}

Duration LoadSharing::Share() {
  if (!view_.observer().has_any_reports()) {
    return kInterval;
  }
  const auto topology = FindTopology();
  if (topology.live_nodes < kMinNodes) {
    is_hub_ = false;
    unsent_.clear();
    return kInterval;
  }
  is_hub_ = IsHub(topology);
  if (is_hub_) {
    SendFromHub(topology);
  } else if (const auto hub = topology.hubs.find(data_centre_);
             hub != topology.hubs.end() && !unsent_.empty()) {
    (void)peers_.Send(hub->second,
                      SharedLoads{LoadSharingStage::kToHub,
                                  UnsentUpTo(LoadSharingStage::kToHub)});
  }
  unsent_.clear();
  return kInterval * std::max(topology.members.size(), kMaxNodesAtFullRate) /
         kMaxNodesAtFullRate;
}

}  // namespace tanagerloom
