// Defines LoadSharing, which exchanges the loads that endpoints reported with
// the other nodes of a large fleet.
#ifndef FLEET_LOAD_SHARING_H_
#define FLEET_LOAD_SHARING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "ports/peer_message.h"
#include "runtime/clock.h"

namespace tanagerloom {

class FleetView;
class PeerNetwork;
struct EndpointRecord;
struct ReportedLoad;

/// Exchanges reported loads by one hub in each data centre: the nodes send the
/// reports they got to the hub of their data centre, which sends the new ones
/// of all to its nodes, and its own nodes' to the other hubs. So each node
/// sends and receives one message an interval, and a report crosses between two
/// data centres once. The hub is found by rendezvous hashing over the live
/// nodes; while nodes see different ones, reports arrive twice, and only the
/// newest of an endpoint counts. While a hub is lost, reports age and count
/// less.
class LoadSharing {
 public:
  /// Interval between two rounds. It is longer in data centres of more than
  /// kMaxNodesAtFullRate nodes, so that a hub handles as many messages.
  static constexpr Duration kInterval = std::chrono::milliseconds(250);
  static constexpr std::size_t kMaxNodesAtFullRate = 32;
  /// Smaller fleets exchange the counts of all their requests instead.
  static constexpr std::size_t kMinNodes = 17;
  /// Older reports say nothing of the present load.
  static constexpr std::chrono::milliseconds kMaxAge{2000};

  LoadSharing(FleetView& view,
              PeerNetwork& peers,
              const Clock& clock,
              std::string data_centre);

  /// A peer shared loads.
  void OnLoads(const SharedLoads& loads);

  /// Sends what is new since the last round. Returns the time until the next.
  Duration Share();

 private:
  /// A report that is to be sent on, and how far it has come.
  struct Unsent {
    SharedLoad load;  ///< Without its age.
    LoadSharingStage stage = LoadSharingStage::kToHub;
    TimePoint reported_at{};
  };
  /// The live nodes of this data centre, and the hubs of all.
  struct Topology {
    std::size_t live_nodes = 0;
    std::vector<std::string> members;
    std::map<std::string, std::string> hubs;  ///< By data centre.
  };

  void OnReported(const EndpointRecord& record, const ReportedLoad& load);
  Topology FindTopology() const;
  bool IsHub(const Topology& topology) const;
  /// Returns the unsent reports that have come at most as far as `limit`.
  std::vector<SharedLoad> UnsentUpTo(LoadSharingStage limit) const;
  /// Returns the endpoints by the hash of their start.
  std::map<std::uint64_t, const EndpointRecord*> EndpointsByStart() const;
  void SendFromHub(const Topology& topology);

  FleetView& view_;
  PeerNetwork& peers_;
  const Clock& clock_;
  std::string data_centre_;
  bool is_hub_ = false;                     ///< As of the last round.
  std::map<std::uint64_t, Unsent> unsent_;  ///< The newest of each endpoint.
};

}  // namespace tanagerloom

#endif  // FLEET_LOAD_SHARING_H_
