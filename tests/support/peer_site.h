// Defines PeerSite, several PeerServices in one process over loopback with one
// VM list, for the tests of membership.
#ifndef TESTS_SUPPORT_PEER_SITE_H_
#define TESTS_SUPPORT_PEER_SITE_H_

#include <boost/fiber/operations.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "config/settings.h"
#include "membership/peer_connection.h"
#include "membership/peer_service.h"
#include "ports/vm_list.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

/// A VM list that a test edits.
class FakeVmList final : public VmList {
 public:
  Result<std::vector<Vm>> Read() override {
    if (failing) {
      return MakeError(ErrorKind::kUnavailable, "the list is down");
    }
    std::vector<Vm> out;
    for (const auto& [id, vm] : vms) {
      out.push_back(vm);
    }
    return out;
  }

  std::map<std::string, Vm> vms;
  bool failing = false;
};

/// One service with what it needs.
struct SiteNode {
  SiteNode(VmList& list, const Settings& settings)
      : events(settings.node_id, 10000, MakeNullLogger()),
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

  SteadyClock clock;
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

  /// Starts a node and lists it, at `advertised_port` if that is not 0.
  SiteNode& Start(const std::string& id, std::uint16_t advertised_port = 0) {
    Settings own = settings;
    own.node_id = id;
    auto node = std::make_unique<SiteNode>(list, own);
    const auto address = node->service.Start().value();
    ports[id] = address.port;
    List(id, advertised_port != 0 ? advertised_port : address.port);
    return *(nodes[id] = std::move(node));
  }

  void List(const std::string& id, std::uint16_t peer_port) {
    Vm vm;
    vm.id = id;
    vm.address = {"127.0.0.1", 1};
    vm.peer_port = peer_port;
    list.vms[id] = vm;
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
  FakeVmList list;
  std::map<std::string, std::uint16_t> ports;
  std::map<std::string, std::unique_ptr<SiteNode>> nodes;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_PEER_SITE_H_
