// Defines PeerSite, which runs several PeerServices with one VM list in one
// process over loopback, for tests of the peer network.
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

/// The VM list as one node reads it. Each peer port is replaced by the port of
/// the relay from this node, if the site uses relays.
class FakeVmList final : public VmList {
 public:
  using PeerPortOf = std::function<std::uint16_t(const Vm&)>;

  FakeVmList(const std::map<std::string, Vm>& vms, PeerPortOf peer_port_of)
      : vms_(vms), peer_port_of_(std::move(peer_port_of)) {}

  Result<std::vector<Vm>> Read() override {
    if (failing) {
      return MakeError(ErrorKind::kUnavailable, "the list is down");
    }
    std::vector<Vm> out;
    for (const auto& [id, vm] : vms_) {
      out.push_back(vm);
      out.back().peer_port = peer_port_of_(vm);
    }
    return out;
  }

  bool failing = false;

 private:
  const std::map<std::string, Vm>& vms_;
  PeerPortOf peer_port_of_;
};

/// The system's clock, which a test can move forward or pause. While paused, no
/// sleep ends, as in a paused VM.
class PausableClock final : public Clock {
 public:
  TimePoint Now() const override {
    return SteadyClock().Now() + state->skipped;
  }
  std::chrono::milliseconds WallNow() const override {
    return SteadyClock().WallNow();
  }
  void SleepUntil(TimePoint time) override {
    // A fiber of a stopped service may still sleep when the clock is destroyed.
    const auto shared_state = state;
    SteadyClock().SleepUntil(time - shared_state->skipped);
    while (shared_state->paused) {
      SteadyClock().SleepFor(std::chrono::milliseconds(5));
    }
  }

  struct State {
    bool paused = false;
    Duration skipped{};
  };
  const std::shared_ptr<State> state = std::make_shared<State>();
};

/// One PeerService with its dependencies and the messages that it received.
struct SiteNode {
  SiteNode(const std::map<std::string, Vm>& vms,
           FakeVmList::PeerPortOf peer_port_of,
           const Settings& settings)
      : list(vms, std::move(peer_port_of)),
        events(settings.node_id, 10000, MakeNullLogger()),
        service(Runtime::Get().io(), list, clock, events, settings) {
    service.OnMessage([this](const std::string& from, const PeerMessage& it) {
      received.emplace_back(from, it);
    });
  }

  /// Number of events of one kind in the log.
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

/// Nodes that share one VM list, and the relays between them.
class PeerSite {
 public:
  PeerSite() {
    settings.peer_listen = {"127.0.0.1", 0};
    settings.peer_keys = {"first test key of the site"};
    settings.vm_list_interval = std::chrono::milliseconds(50);
    settings.heartbeat_interval = std::chrono::milliseconds(50);
    settings.peer_timeout = std::chrono::milliseconds(400);
  }

  /// Starts a node and adds it to the VM list. Port 0 selects a free port.
  SiteNode& Start(const std::string& id, std::uint16_t port = 0) {
    Settings node_settings = settings;
    node_settings.node_id = id;
    node_settings.peer_listen.port = port;
    const auto peer_port_of = [this, id](const Vm& vm) {
      return use_relays ? Relay(id, vm.id).port() : vm.peer_port;
    };
    auto node = std::make_unique<SiteNode>(vms, peer_port_of, node_settings);
    AddVm(id, node->service.Start().value().port);
    return *(nodes[id] = std::move(node));
  }

  /// Returns the relay for connections that `from` opens to `to`, and creates
  /// it on first use.
  FaultRelay& Relay(const std::string& from, const std::string& to) {
    auto& relay = relays[{from, to, vms.at(to).peer_port}];
    if (relay == nullptr) {
      relay = new FaultRelay(vms.at(to).peer_port);
    }
    return *relay;
  }

  /// Closes all relayed connections of `id` and prevents new ones while
  /// `isolated`.
  void Isolate(const std::string& id, bool isolated) {
    for (const auto& [key, relay] : relays) {
      if (std::get<0>(key) == id || std::get<1>(key) == id) {
        relay->SetDisconnected(isolated);
      }
    }
  }

  /// Pauses or resumes a relayed node like a VM. Data sent to and from it
  /// meanwhile is delivered when it resumes.
  void Pause(const std::string& id, bool paused) {
    Node(id).clock.state->paused = paused;
    for (const auto& [key, relay] : relays) {
      if (std::get<0>(key) == id || std::get<1>(key) == id) {
        relay->SetPaused(paused);
      }
    }
  }

  SiteNode& Node(const std::string& id) { return *nodes.at(id); }

  /// Adds a node to the VM list or changes its port.
  void AddVm(const std::string& id, std::uint16_t peer_port) {
    Vm vm;
    vm.id = id;
    vm.address = {"127.0.0.1", 1};
    vm.peer_port = peer_port;
    vms[id] = vm;
  }

  /// Starts the nodes "n00", "n01" and so on.
  void StartNodes(int n) {
    for (int i = 0; i < n; ++i) {
      Start((i < 10 ? "n0" : "n") + std::to_string(i));
    }
  }

  /// Returns whether each node sees exactly `n` live nodes.
  bool AllNodesSee(std::size_t n) const {
    for (const auto& [id, node] : nodes) {
      if (node->service.LiveIds().size() != n) {
        return false;
      }
    }
    return true;
  }

  /// Waits up to 20 s for a condition and returns whether it holds. Only a
  /// failing test waits that long.
  static bool WaitUntil(const std::function<bool()>& condition) {
    const SteadyClock clock;
    const auto deadline = clock.Now() + std::chrono::seconds(20);
    while (!condition() && clock.Now() < deadline) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    }
    return condition();
  }

  Settings settings;
  bool use_relays = false;  ///< Connections go through relays.
  std::map<std::string, Vm> vms;
  /// By the node that connects, the node that accepts and its peer port.
  std::map<std::tuple<std::string, std::string, std::uint16_t>, FaultRelay*>
      relays;
  /// Declared last, because services use the other members until they stop.
  std::map<std::string, std::unique_ptr<SiteNode>> nodes;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_PEER_SITE_H_
