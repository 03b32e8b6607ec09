// Defines PeerService, the PeerNetwork of a running node: who lives, and
// messages between nodes over authenticated TCP links.
#ifndef MEMBERSHIP_PEER_SERVICE_H_
#define MEMBERSHIP_PEER_SERVICE_H_

#include <memory>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "base/error.h"
#include "ports/peer_network.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class Clock;
class EventLog;
struct PeerCounters;
struct Settings;

/// The peer network. Handlers run on the fiber that reads the connection and
/// must not block: while one does, its connection reads nothing.
class PeerService final : public PeerNetwork {
 public:
  PeerService(boost::asio::io_context& io,
              VmList& vm_list,
              Clock& clock,
              EventLog& events,
              const Settings& settings);
  ~PeerService() override;
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;

  /// Listens on Settings::peer_listen and starts reading the VM list. Returns
  /// the address, whose port was chosen by the system if the setting was 0.
  Result<Address> Start();

  /// Tells the peers that this node takes no new work; connections stay.
  void AnnounceLeaving();

  /// Tells the peers that this process ends, closes all connections and waits
  /// for the fibers that use them.
  void Stop();

  /// Members, links and counters as JSON; without secrets.
  nlohmann::json Status() const;

  /// Bytes and messages sent and received, and what was refused or dropped.
  const PeerCounters& counters() const;

  const std::string& self() const override;
  const std::string& node_id() const override;
  std::vector<Member> Members() const override;
  std::vector<std::string> LiveIds() const override;
  bool MayStillRun(std::string_view node_incarnation) const override;
  void Broadcast(const PeerMessage& message) override;
  bool Send(const std::string& node_id, const PeerMessage& message) override;
  void OnMessage(Handler handler) override;
  void OnMembersChanged(std::function<void()> handler) override;
  void SetConfigVersion(std::uint64_t version) override;
  std::vector<Vm> Vms() const override;
  void ReportLeaving(const std::string& endpoint) override;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_SERVICE_H_
