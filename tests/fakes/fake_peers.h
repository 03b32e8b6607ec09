// Defines FakePeers, the peer network of one node, and FakeCluster, which
// connects the nodes of a test in memory.
#ifndef TESTS_FAKES_FAKE_PEERS_H_
#define TESTS_FAKES_FAKE_PEERS_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ports/peer_network.h"

namespace tanagerloom {

class FakePeers;

/// The nodes by ID. A message arrives at once, or is dropped if `deliver`
/// returns false.
struct FakeCluster {
  std::map<std::string, FakePeers*> nodes;
  std::function<bool(const std::string& from, const std::string& to)> deliver =
      [](const std::string&, const std::string&) { return true; };
};

/// The peer network of one node. A node is a member from construction to
/// destruction, and reachable while `deliver` lets its messages through.
class FakePeers final : public PeerNetwork {
 public:
  FakePeers(FakeCluster& cluster, std::string id, std::string data_centre)
      : cluster_(cluster),
        id_(std::move(id)),
        self_(id_ + "/1"),
        data_centre_(std::move(data_centre)) {
    cluster_.nodes[id_] = this;
  }
  ~FakePeers() override { cluster_.nodes.erase(id_); }

  /// Returns the configuration version that the node reports to the others.
  std::function<std::uint64_t()> version = [] { return std::uint64_t{0}; };

  /// Size in bytes of the configuration root that was broadcast last.
  std::size_t last_announced_bytes = 0;
  /// Processors of the node's VM.
  double processors = 0;
  /// Address at which the node's operator API listens.
  Address admin;

  const std::string& self() const override { return self_; }
  const std::string& node_id() const override { return id_; }

  std::vector<Member> Members() const override {
    std::vector<Member> out;
    for (const auto& it : cluster_.nodes) {
      const bool reachable_from_here =
          it.first == id_ || cluster_.deliver(it.first, id_);
      Member member;
      member.vm.id = it.first;
      member.vm.data_centre = it.second->data_centre_;
      member.vm.processors = it.second->processors;
      member.vm.address.ip = it.second->admin.ip;
      member.vm.admin_port = it.second->admin.port;
      member.reachable = reachable_from_here;
      member.config_version = reachable_from_here ? it.second->version() : 0;
      out.push_back(std::move(member));
    }
    return out;
  }

  std::vector<std::string> LiveIds() const override {
    std::vector<std::string> out;
    for (const auto& it : Members()) {
      if (it.reachable) {
        out.push_back(it.vm.id);
      }
    }
    return out;
  }

  bool MayStillRun(std::string_view) const override { return true; }

  void Broadcast(const PeerMessage& message) override {
    if (const auto* update = std::get_if<ConfigUpdate>(&message)) {
      last_announced_bytes = update->root.size();
    }
    for (const auto& it : cluster_.nodes) {
      Send(it.first, message);
    }
  }

  bool Send(const std::string& node_id, const PeerMessage& message) override {
    const auto it = cluster_.nodes.find(node_id);
    if (node_id == id_ || it == cluster_.nodes.end() ||
        !cluster_.deliver(id_, node_id)) {
      return false;
    }
    for (const auto& handler : it->second->handlers_) {
      handler(self_, message);
    }
    return true;
  }

  void OnMessage(Handler handler) override {
    handlers_.push_back(std::move(handler));
  }
  void OnMembersChanged(std::function<void()>) override {}
  std::vector<Vm> Vms() const override { return {}; }
  void ReportLeaving(const std::string&) override {}

 private:
  FakeCluster& cluster_;
  std::string id_;
  std::string self_;
  std::string data_centre_;
  std::vector<Handler> handlers_;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_FAKE_PEERS_H_
