// Defines OrderingSite, a node that holds the order lease and orders engines in
// memory, on a virtual clock.
#ifndef TESTS_SUPPORT_ORDERING_SITE_H_
#define TESTS_SUPPORT_ORDERING_SITE_H_

#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "fleet/demand_tracker.h"
#include "fleet/fleet_view.h"
#include "ordering/order_coordinator.h"
#include "ordering/order_lease.h"
#include "platform/entry_decoder.h"
#include "ports/store_era.h"
#include "registry/fleet_registry.h"
#include "tests/fakes/fake_collections.h"
#include "tests/fakes/fake_engine.h"
#include "tests/fakes/fake_object_store.h"
#include "tests/fakes/fake_peers.h"
#include "tests/fakes/virtual_clock.h"

namespace tanagerloom {

/// One process that may order the engines.
struct OrderingNode {
  OrderingNode(FakeCluster& cluster,
               FakeObjectStore& store,
               FakeCollections& collections,
               FakeEngineControl& engines,
               Clock& clock,
               const std::string& id)
      : peers(cluster, id, "z"),
        log(id, 1000, MakeNullLogger()),
        view("z", clock),
        demand(clock),
        registry(collections,
                 era,
                 peers,
                 view,
                 clock,
                 log,
                 platform::MakeRegistryFormat(),
                 {}),
        lease(store, era, peers, clock, log, "leases/orders", id, {}),
        orders({lease, engines, peers, registry, view, demand, clock, log,
                [this](const std::string& engine, std::uint64_t boot) {
                  view.OnLeaving(engine, boot);
                }},
               std::chrono::seconds(5)) {
    peers.OnMessage([this](const std::string&, const PeerMessage& message) {
      if (const auto* it = std::get_if<LeaseNotice>(&message)) {
        lease.OnNotice(*it);
      }
    });
    registry.Start();
    boost::fibers::fiber([this] { lease.Run(); }).detach();
    orders.Start();
  }

  void Stop() {
    lease.Stop();
    orders.Stop();
    registry.Stop();
  }

  StoreEra era;
  FakePeers peers;
  EventLog log;
  FleetView view;
  DemandTracker demand;
  FleetRegistry registry;
  OrderLease lease;
  OrderCoordinator orders;
};

/// Engines "e1", "e2", ... of service "s", and the nodes that order them. Tests
/// leak it, because detached fibers use it.
class OrderingSite {
 public:
  static constexpr std::uint16_t kFirstPort = 7001;

  explicit OrderingSite(const FakeEngineSpec& spec)
      : store(clock), collections(clock), control(clock), spec_(spec) {
    // Waits of an EventFlag end at once if the time is long past.
    clock.SleepFor(std::chrono::hours(24 * 3650));
    collections.Set("config", "main", ConfigText());
  }

  FakeEngine& AddEngine(const std::vector<std::string>& models) {
    const auto id = "e" + std::to_string(engines.size() + 1);
    auto& engine =
        *engines.emplace_back(std::make_unique<FakeEngine>(clock, id, spec_));
    for (const auto& it : models) {
      engine.Place(it);
    }
    control.engines[PortOf(engines.size() - 1)] = &engine;
    CheckIn();
    return engine;
  }

  OrderingNode& AddNode(const std::string& id) {
    return *nodes.emplace_back(std::make_unique<OrderingNode>(
        cluster, store, collections, control, clock, id));
  }

  /// Each engine writes its entry.
  void CheckIn() {
    for (std::size_t i = 0; i < engines.size(); ++i) {
      collections.Set("servers", engines[i]->id(), EntryText(i));
    }
  }

  /// Requests that wait for a model or adapter, reported by node `reporter`.
  std::map<ModelRef, std::uint32_t> waiting;

  /// Lets time pass. Engines check in, and the waiting requests are reported to
  /// every node, as often as nodes report them at least.
  void RunFor(Duration duration) {
    constexpr auto kStep = std::chrono::milliseconds(20);
    constexpr auto kCheckInInterval = std::chrono::milliseconds(1200);
    const auto end = clock.Now() + duration;
    while (clock.Now() < end) {
      if (clock.Now() >= next_check_in_) {
        next_check_in_ = clock.Now() + kCheckInInterval;
        CheckIn();
      }
      for (const auto& it : nodes) {
        it->orders.OnDemand("reporter", MakeDemand());
      }
      clock.SleepFor(kStep);
    }
  }

  /// Lets time pass until `condition` holds. Returns whether it does.
  bool RunUntil(const std::function<bool()>& condition, Duration timeout) {
    const auto end = clock.Now() + timeout;
    while (!condition() && clock.Now() < end) {
      RunFor(std::chrono::milliseconds(20));
    }
    return condition();
  }

  /// Ends the fibers of the nodes.
  void Stop() {
    for (const auto& it : nodes) {
      it->Stop();
    }
    RunFor(std::chrono::seconds(30));
  }

  /// Returns what was too much for an engine; empty if nothing was.
  std::string Overfilled() const {
    for (const auto& it : engines) {
      if (!it->overfilled.empty()) {
        return it->overfilled;
      }
    }
    return "";
  }

  VirtualClock clock;
  FakeObjectStore store;
  FakeCollections collections;
  FakeCluster cluster;
  FakeEngineControl control;
  std::vector<std::unique_ptr<FakeEngine>> engines;
  std::vector<std::unique_ptr<OrderingNode>> nodes;

 private:
  static std::uint16_t PortOf(std::size_t index) {
    return static_cast<std::uint16_t>(kFirstPort + index);
  }

  std::string ConfigText() const {
    auto models = nlohmann::json::array();
    for (const auto& [model, mb] : spec_.model_mb) {
      models.push_back({{"name", model},
                        {"weightsMb", mb},
                        {"loadS", 0.8},
                        {"diskS", 0.8},
                        {"warmS", 0.8},
                        {"adapters", 40},
                        {"adapterMb", 0}});
    }
    return nlohmann::json({{"version", 1},
                           {"routes", nlohmann::json::array()},
                           {"services",
                            {{{"name", "s"},
                              {"engine",
                               {{"slots", 64},
                                {"weightsMb", spec_.weights_mb},
                                {"adapterSlots", spec_.adapter_slots},
                                {"loadsPerS", 100},
                                {"models", models}}}}}},
                           {"limits", nlohmann::json::object()}})
        .dump();
  }

  std::string EntryText(std::size_t index) const {
    const auto& engine = *engines[index];
    auto models = nlohmann::json::array();
    for (const auto& [model, adapters] : engine.models()) {
      models.push_back(
          {{"name", model}, {"version", 1}, {"adapters", adapters}});
    }
    auto on_disk = nlohmann::json::array();
    for (const auto& [model, mb] : spec_.model_mb) {
      on_disk.push_back(model);
    }
    return nlohmann::json(
               {{"service", "s"},
                {"address", "127.0.0.1:" + std::to_string(PortOf(index))},
                {"zone", "z"},
                {"slots", 64},
                {"state", "ready"},
                {"born", engine.boot()},
                {"models", models},
                {"available", {{"onDisk", on_disk}}}})
        .dump();
  }

  Demand MakeDemand() const {
    constexpr std::uint64_t kDeadlineMs = 10000;
    Demand out;
    out.cell = "s";
    for (const auto& [ref, n] : waiting) {
      DemandEntry entry;
      entry.model = ref.model;
      entry.adapter = ref.adapter;
      entry.waiting = n;
      entry.earliest_deadline_ms = kDeadlineMs;
      out.entries.push_back(std::move(entry));
    }
    return out;
  }

  FakeEngineSpec spec_;
  TimePoint next_check_in_{};
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_ORDERING_SITE_H_
