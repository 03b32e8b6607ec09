// Defines ConfigStore, which puts the accepted configuration in force on this
// node: it reads it from the object store, learns of changes from watches,
// peers and polls, and applies the files of operators.
#ifndef CONTROL_CONFIG_STORE_H_
#define CONTROL_CONFIG_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "control/config_applier.h"
#include "control/config_root.h"
#include "control/content_cache.h"
#include "ports/object_store.h"
#include "ports/peer_network.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;

/// Holds the configuration in force on this node.
///
/// The first configuration is put in force only after the platform has been
/// read and only if no peer is known to have a newer one. Afterwards a newer
/// one may also come from a peer. The version in force never falls.
///
/// The constructor arguments must outlive the fibers of the store; in a
/// program, they live until the process exits.
class ConfigStore final : public EstateSource {
 public:
  ConfigStore(ObjectStore& store,
              PeerNetwork& peers,
              Clock& clock,
              EventLog& events,
              const Settings& settings);
  ~ConfigStore() override;
  ConfigStore(const ConfigStore&) = delete;
  ConfigStore& operator=(const ConfigStore&) = delete;

  /// Starts the fibers that watch, poll and check the peers.
  void Start();

  /// Stops the fibers at their next wake-up, within 20 s. The configuration in
  /// force stays available.
  void Stop() { *stopped_ = true; }

  std::shared_ptr<const Estate> Current() const override { return estate_; }
  void OnChange(std::function<void()> handler) override;

  /// Whether a configuration has been put in force.
  bool IsReady() const { return estate_->version > 0; }

  /// The highest version known to be accepted. It is above the version in force
  /// until its content has been read.
  std::uint64_t known_version() const { return known_version_; }

  /// Applies a file; see ConfigApplier::Apply for the errors. After it has been
  /// accepted, this node and the reachable peers put it in force.
  Result<ApplyOutcome> Apply(const ApplyRequest& request);

  /// Reads the configuration from the platform and puts it in force if it is
  /// newer. kUnavailable if a newer version is known that cannot be read yet.
  Result<void> Refresh();

  /// The root in force.
  const ConfigRoot& root() const { return root_; }

  /// The text of an operator's file in force; kNotFound if it has none.
  Result<std::string> FileText(std::string_view operator_name);

  /// At most `limit` accepted changes with a version below `before`, newest
  /// first.
  Result<std::vector<HistoryEntry>> History(std::uint64_t before,
                                            std::size_t limit);

  /// The operator whose token this is; kInvalid if it belongs to none. While no
  /// configuration exists, the bootstrap token is that of "estate".
  Result<std::string> FindOperatorByToken(std::string_view token) const;

  /// Whether this node is one of the two nodes of its data centre that watch
  /// the root object.
  bool IsWatcher() const;

  /// The mean time between two polls of this node. It grows with the number of
  /// live nodes, so that their polls together stay within a rate limit.
  Duration PollInterval() const;

 private:
  using StopFlag = std::shared_ptr<bool>;

  /// Runs `body` in a fiber, which may outlive the store; `stopped` tells it to
  /// end.
  void StartFiber(std::function<void(const StopFlag& stopped)> body);
  void WatchLoop(const StopFlag& stopped);
  void PollLoop(const StopFlag& stopped);
  void PeerCheckLoop(const StopFlag& stopped);

  void OnUpdate(const ConfigUpdate& update);
  /// Puts a configuration or delta received from a peer in force.
  Result<void> AdoptUpdate(const ConfigUpdate& update);
  Result<void> AdoptDelta(const nlohmann::json& value,
                          std::uint64_t object_version);
  /// Refreshes after a random delay, unless a refresh is already scheduled.
  void ScheduleRefresh();
  /// Raises the known version to those that the members report.
  void LearnVersionsOfMembers();
  void LearnVersion(std::uint64_t version);
  /// Records an event if the configuration has become unreachable or is
  /// unusable.
  void RecordReadResult(const Result<void>& outcome);

  /// Puts a root in force if it is newer than the one in force.
  Result<void> Adopt(std::string_view text, std::uint64_t object_version);
  Result<std::shared_ptr<const Estate>> BuildEstateOf(const ConfigRoot& root);
  void PutInForce(ConfigRoot root,
                  std::string text,
                  std::shared_ptr<const Estate> estate);

  /// The delta from the root in force to `next`, as JSON; empty if the content
  /// of either is not cached.
  std::string MakeDeltaText(const ConfigRoot& next) const;
  /// An update with the root and as much content as fits into `max_bytes`, or
  /// with only the version if the root does not fit.
  ConfigUpdate MakeUpdate(std::size_t max_bytes) const;
  /// Broadcasts the version in force, unless this node has done so before.
  void Announce();
  /// Announces a version read from the platform, unless a peer announces it
  /// first.
  void AnnounceUnlessPeerDid(const StopFlag& stopped);
  /// Sends the configuration to members of this data centre whose version lags
  /// behind. Only watchers do so.
  void UpdateLaggingMembers();

  ObjectStore& store_;
  PeerNetwork& peers_;
  Clock& clock_;
  EventLog& events_;
  const std::string data_centre_;
  const Duration poll_interval_;
  const std::string bootstrap_token_sha256_;
  ContentCache contents_;
  ConfigApplier applier_;

  std::shared_ptr<const Estate> estate_ = std::make_shared<const Estate>();
  ConfigRoot root_;
  std::string root_text_;
  /// Delta from the previous root to `root_` as JSON; empty if it cannot be
  /// made.
  std::string delta_text_;
  /// Object version of the newest root object seen.
  std::uint64_t object_version_ = 0;
  /// Highest configuration version known to be accepted.
  std::uint64_t known_version_ = 0;
  /// Highest version announced by a peer.
  std::uint64_t peer_announced_version_ = 0;
  /// Highest version announced by this node.
  std::uint64_t announced_version_ = 0;
  /// Members that lagged at the last check.
  std::set<std::string> lagging_members_;
  /// Whether the platform has ever been read.
  bool platform_read_ = false;
  /// False after a failed read, until one succeeds.
  bool platform_reachable_ = true;
  bool refresh_scheduled_ = false;
  std::vector<std::function<void()>> handlers_;
  StopFlag stopped_ = std::make_shared<bool>(false);
};

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_STORE_H_
