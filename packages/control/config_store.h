// Defines ConfigStore, which keeps the accepted configuration in force on this
// node: it reads it from the object API, learns of changes by watch, peers and
// poll, and applies the files of operators.
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

/// The configuration in force on this node.
///
/// The first configuration is put in force only after the platform was read
/// and only if no peer is known to have a newer one; from then on a newer one
/// may also come from a peer. Versions never fall.
///
/// The arguments must live as long as the store's fibers: in a program, until
/// the process exits.
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

  /// Starts the fibers that watch and poll.
  void Start();

  /// Ends the fibers at their next wake-up, within 20 s; the configuration in
  /// force stays.
  void Stop() { *stopped_ = true; }

  std::shared_ptr<const Estate> Current() const override { return estate_; }
  void OnChange(std::function<void()> handler) override;

  /// Whether a configuration has been put in force.
  bool IsReady() const { return estate_->version > 0; }

  /// The highest version that this node knows to be accepted; above the one in
  /// force for as long as its content is being read.
  std::uint64_t known_version() const { return known_version_; }

  /// Applies a file; see ConfigApplier::Apply for the errors. Once it is
  /// accepted, this node and the reachable peers put it in force.
  Result<ApplyOutcome> Apply(const ApplyRequest& request);

  /// Reads the platform's configuration and puts it in force if it is newer.
  Result<void> Refresh();

  /// The root in force.
  const ConfigRoot& root() const { return root_; }

  /// The text of an operator's file in force.
  Result<std::string> FileText(std::string_view operator_name);

  /// At most `limit` accepted changes with a version below `before`, newest
  /// first.
  Result<std::vector<HistoryEntry>> History(std::uint64_t before,
                                            std::size_t limit);

  /// The operator whose token this is; kInvalid if it is none's.
  Result<std::string> FindOperatorByToken(std::string_view token) const;

  /// Whether this node is one of the two of its data centre that watch.
  bool IsWatcher() const;

  /// The mean time between two polls of this node.
  Duration PollInterval() const;

 private:
  using StopFlag = std::shared_ptr<bool>;

  void StartFiber(std::function<void(const StopFlag& stopped)> body);
  void WatchLoop(const StopFlag& stopped);
  void PollLoop(const StopFlag& stopped);
  void PeerCheckLoop(const StopFlag& stopped);

  void OnUpdate(const ConfigUpdate& update);
  /// Puts a received configuration or delta in force.
  Result<void> AdoptUpdate(const ConfigUpdate& update);
  Result<void> AdoptDelta(const nlohmann::json& value,
                          std::uint64_t object_version);
  /// Refreshes after a random delay, unless a refresh is already due.
  void ScheduleRefresh();
  void LearnVersionsOfMembers();
  void LearnVersion(std::uint64_t version);
  void RecordReadResult(const Result<void>& outcome);

  Result<void> Adopt(std::string_view text, std::uint64_t object_version);
  Result<std::shared_ptr<const Estate>> BuildEstateOf(const ConfigRoot& root);
  void PutInForce(ConfigRoot root,
                  std::string text,
                  std::shared_ptr<const Estate> estate);

  /// The delta from the root in force to `next`, as JSON; empty if the content
  /// of either is not at hand.
  std::string MakeDeltaText(const ConfigRoot& next) const;
  /// The whole configuration, or only its version if that is longer than
  /// `max_bytes`.
  ConfigUpdate MakeUpdate(std::size_t max_bytes) const;
  void Announce();
  /// Announces a version learnt from the platform, unless a peer does first.
  void AnnounceUnlessPeerDid(const StopFlag& stopped);
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
  std::string delta_text_;  ///< From the root before; empty if not at hand.
  std::uint64_t object_version_ = 0;  ///< Of the newest root object seen.
  std::uint64_t known_version_ = 0;
  std::uint64_t peer_announced_version_ = 0;  ///< Highest announced by a peer.
  std::uint64_t announced_version_ = 0;    ///< Highest announced by this node.
  std::set<std::string> lagging_members_;  ///< At the last check.
  bool platform_read_ = false;
  bool platform_reachable_ = true;
  bool refresh_scheduled_ = false;
  std::vector<std::function<void()>> handlers_;
  StopFlag stopped_ = std::make_shared<bool>(false);
};

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_STORE_H_
