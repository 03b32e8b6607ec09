// Defines PeerService, the PeerNetwork of a running node, which tracks the live
// nodes and exchanges messages over authenticated TCP connections.
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

/// Implements PeerNetwork. Handlers run on the fiber that reads the connection
/// and must not block: until a handler returns, its connection reads nothing.
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

  /// Listens on Settings::peer_listen and starts to read the VM list. Returns
  /// the address that it listens on; the system chooses the port if the setting
  /// is 0. Fails if the address is invalid or not available.
  Result<Address> Start();

  /// Announces to the peers that this node drains. Connections stay open.
  void AnnounceLeaving();

  /// Announces to the peers that this process is about to end, closes all
  /// connections and waits for the fibers that use them.
  void Stop();

  /// Returns members, links and counters as JSON, without secrets.
  nlohmann::json Status() const;

  /// Returns the traffic counters.
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
