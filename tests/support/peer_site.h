// Defines PeerSite, several PeerServices in one process over loopback with one
// VM list, for the tests of membership.
#ifndef TESTS_SUPPORT_PEER_SITE_H_
#define TESTS_SUPPORT_PEER_SITE_H_

#include <boost/fiber/operations.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "base/event_log.h"
#include "config/settings.h"
#include "membership/peer_connection.h"
#include "membership/peer_service.h"
#include "ports/vm_list.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "tests/support/fault_relay.h"

namespace tanagerloom {

/// The VM list of one node: the site's list, whose peer ports are replaced by
/// the relays from this node.
class FakeVmList final : public VmList {
 public:
  using PortOf = std::function<std::uint16_t(const Vm&)>;

  FakeVmList(const std::map<std::string, Vm>& vms, PortOf port_of)
      : vms_(vms), port_of_(std::move(port_of)) {}

  Result<std::vector<Vm>> Read() override {
    if (failing) {
      return MakeError(ErrorKind::kUnavailable, "the list is down");
    }
    std::vector<Vm> out;
    for (const auto& [id, vm] : vms_) {
      out.push_back(vm);
      out.back().peer_port = port_of_(vm);
    }
    return out;
  }

  bool failing = false;

 private:
  const std::map<std::string, Vm>& vms_;
  PortOf port_of_;
};

/// The system's clock, whose sleepers a test can hold up as a paused VM would,
/// and whose time it can move forward.
class PausableClock final : public Clock {
 public:
  TimePoint Now() const override {
    return SteadyClock().Now() + state->skipped;
  }
  std::chrono::milliseconds WallNow() const override {
    return SteadyClock().WallNow();
  }
  void SleepUntil(TimePoint time) override {
    // A fiber of a stopped service may sleep on after the clock is gone.
    const auto kept = state;
    SteadyClock().SleepUntil(time - kept->skipped);
    while (kept->paused) {
      SteadyClock().SleepFor(std::chrono::milliseconds(5));
    }
  }

  struct State {
    bool paused = false;
    Duration skipped{};
  };
  const std::shared_ptr<State> state = std::make_shared<State>();
};

/// One service with what it needs.
struct SiteNode {
  SiteNode(const std::map<std::string, Vm>& vms,
           FakeVmList::PortOf port_of,
           const Settings& settings)
      : list(vms, std::move(port_of)),
        events(settings.node_id, 10000, MakeNullLogger()),
        service(Runtime::Get().io(), list, clock, events, settings) {
    service.OnMessage([this](const std::string& from, const PeerMessage& it) {
      received.emplace_back(from, it);
    });
  }

  /// Number of events of one kind so far.
  int Count(EventId id) const {
    int n = 0;
    for (const auto& it : events.Since(0)) {
      n += it.id.number == id.number ? 1 : 0;
    }
    return n;
  }

  FakeVmList list;
  PausableClock clock;
  EventLog events;
  PeerService service;
  std::vector<std::pair<std::string, PeerMessage>> received;
};

/// A site whose nodes share one VM list.
class PeerSite {
 public:
  PeerSite() {
    settings.peer_listen = {"127.0.0.1", 0};
    settings.peer_keys = {"first test key of the site"};
    settings.vm_list_interval = std::chrono::milliseconds(50);
    settings.heartbeat_interval = std::chrono::milliseconds(50);
    settings.peer_timeout = std::chrono::milliseconds(400);
  }

  /// Starts a node and lists it. Port 0 takes any free one.
  SiteNode& Start(const std::string& id, std::uint16_t port = 0) {
    Settings own = settings;
    own.node_id = id;
    own.peer_listen.port = port;
    const auto port_of = [this, id](const Vm& vm) {
      return relayed ? Relay(id, vm.id).port() : vm.peer_port;
    };
    auto node = std::make_unique<SiteNode>(vms, port_of, own);
    List(id, node->service.Start().value().port);
    return *(nodes[id] = std::move(node));
  }

  /// The relay for connections that `from` opens to `to`.
  FaultRelay& Relay(const std::string& from, const std::string& to) {
    auto& relay = relays[{from, to, vms.at(to).peer_port}];
    if (relay == nullptr) {
      relay = new FaultRelay(vms.at(to).peer_port);
    }
    return *relay;
  }

  /// Cuts or restores all connections between `id` and the others.
  void Isolate(const std::string& id, bool cut) {
    for (const auto& [key, relay] : relays) {
      if (std::get<0>(key) == id || std::get<1>(key) == id) {
        relay->SetCut(cut);
      }
    }
  }

  /// Pauses a relayed node as a stopped VM: what it was sent meanwhile reaches
  /// it when it goes on.
  void Pause(const std::string& id, bool paused) {
    Node(id).clock.state->paused = paused;
    for (const auto& [key, relay] : relays) {
      if (std::get<0>(key) == id || std::get<1>(key) == id) {
        relay->SetHeld(paused);
      }
    }
  }

  SiteNode& Node(const std::string& id) { return *nodes.at(id); }

  void List(const std::string& id, std::uint16_t peer_port) {
    Vm vm;
    vm.id = id;
    vm.address = {"127.0.0.1", 1};
    vm.peer_port = peer_port;
    vms[id] = vm;
  }

  void StartMany(int n) {
    for (int i = 0; i < n; ++i) {
      Start((i < 10 ? "n0" : "n") + std::to_string(i));
    }
  }

  /// Whether each node sees exactly `n` live nodes.
  bool AllSee(std::size_t n) const {
    for (const auto& [id, node] : nodes) {
      if (node->service.LiveIds().size() != n) {
        return false;
      }
    }
    return true;
  }

  /// Waits for a condition; the bound only ends a failing test.
  static bool Wait(const std::function<bool()>& condition) {
    const SteadyClock clock;
    const auto end = clock.Now() + std::chrono::seconds(20);
    while (!condition() && clock.Now() < end) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  Settings settings;
  bool relayed = false;  ///< Connections go through relays.
  std::map<std::string, Vm> vms;
  /// By opener, other end and its port.
  std::map<std::tuple<std::string, std::string, std::uint16_t>, FaultRelay*>
      relays;
  /// Last, because services use the rest until they have stopped.
  std::map<std::string, std::unique_ptr<SiteNode>> nodes;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_PEER_SITE_H_
