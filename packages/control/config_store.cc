#include "control/config_store.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "base/invariant.h"
#include "config/digest.h"
#include "config/estate_builder.h"
#include "control/config_delta.h"

namespace tanagerloom {

namespace {

constexpr std::size_t kWatchersPerDataCentre = 2;
constexpr auto kWatchTimeout = std::chrono::seconds(20);
constexpr auto kMinWatchRetryDelay = std::chrono::milliseconds(500);
constexpr auto kMaxWatchRetryDelay = std::chrono::milliseconds(5000);
// A poll is a watch with this short timeout. Unlike a read, its response has no
// body if nothing has changed.
constexpr auto kPollTimeout = std::chrono::milliseconds(1);
// Limit for all members together. The design allows 50 reads/s; the difference
// covers the jitter.
constexpr double kMaxPollsPerSecond = 40;
constexpr auto kPeerCheckInterval = std::chrono::milliseconds(1000);
constexpr auto kMinRefreshDelay = std::chrono::milliseconds(20);
constexpr auto kRefreshDelayPerMember = std::chrono::milliseconds(2);
// Limit on the content of a broadcast. A broadcast reaches each node over
// several links, so a larger configuration is announced without its content,
// which nodes read from the platform.
constexpr std::size_t kMaxAnnouncedBytes = 16UL * 1024;
// Limit on an update for one member. A frame between peers is limited to 1 MB
// including its envelope.
constexpr std::size_t kMaxUpdateBytes = 900UL * 1000;
constexpr auto kMinAnnounceDelay = std::chrono::milliseconds(20);
constexpr auto kAnnounceDelayJitter = std::chrono::milliseconds(200);
constexpr std::size_t kMaxUpdatedMembers = 8;

Duration Jittered(Duration mean) {
  constexpr double kRelativeJitter = 0.4;
  return std::chrono::duration_cast<Duration>(
      mean * (1 - kRelativeJitter / 2 + kRelativeJitter * RandomUnit()));
}

Duration RandomDelay(Duration min, Duration max_jitter) {
  return min + std::chrono::duration_cast<Duration>(max_jitter * RandomUnit());
}

std::set<std::string> ContentHashesOf(const ConfigRoot& root) {
  std::set<std::string> out;
  for (const auto& it : root.files) {
    out.insert(it.second.content.begin(), it.second.content.end());
  }
  if (!root.history_page.empty()) {
    out.insert(root.history_page);
  }
  return out;
}

}  // namespace

ConfigStore::ConfigStore(ObjectStore& store,
                         PeerNetwork& peers,
                         Clock& clock,
                         EventLog& events,
                         const Settings& settings)
    : store_(store),
      peers_(peers),
      clock_(clock),
      events_(events),
      data_centre_(settings.data_centre),
      poll_interval_(settings.config_poll_interval),
      bootstrap_token_sha256_(settings.bootstrap_token_sha256),
      contents_(store),
      applier_(store,
               contents_,
               clock,
               events,
               settings.bootstrap_token_sha256,
               [this] { return known_version_; }) {
  peers_.OnMessage([this, stopped = stopped_](const std::string&,
                                              const PeerMessage& message) {
    const auto* update = std::get_if<ConfigUpdate>(&message);
    if (update != nullptr && !*stopped) {
      OnUpdate(*update);
    }
  });
}

ConfigStore::~ConfigStore() {
  Stop();
}

void ConfigStore::StartFiber(
    std::function<void(const StopFlag& stopped)> body) {
  boost::fibers::fiber(boost::fibers::launch::post, [body = std::move(body),
                                                     stopped = stopped_] {
    if (!*stopped) {
      body(stopped);
    }
  }).detach();
}

void ConfigStore::Start() {
  StartFiber([this](const StopFlag& stopped) { WatchLoop(stopped); });
  StartFiber([this](const StopFlag& stopped) { PollLoop(stopped); });
  StartFiber([this](const StopFlag& stopped) { PeerCheckLoop(stopped); });
}

void ConfigStore::OnChange(std::function<void()> handler) {
  handlers_.push_back(std::move(handler));
}

Result<ApplyOutcome> ConfigStore::Apply(const ApplyRequest& request) {
  auto outcome = applier_.Apply(request);
  if (!outcome) {
    events_.Record(
        events::kConfigurationRefused,
        {{"operator", request.operator_name},
         {"kind", outcome.error().kind == ErrorKind::kUnknown ? "unknown"
                                                              : "refused"}});
    return outcome;
  }
  const auto& value = outcome.value();
  LearnVersion(value.version);
  platform_read_ = true;
  // A failure here does not fail the call: the file is accepted, and the next
  // poll puts it in force.
  RecordReadResult(Adopt(value.root_text, value.object_version));
  Announce();
  events_.Record(events::kConfigurationApplied,
                 {{"operator", request.operator_name},
                  {"version", value.version},
                  {"changed", value.changed}});
  return outcome;
}

Result<void> ConfigStore::Refresh() {
  if (object_version_ == 0) {
    const auto object = store_.Get(kConfigRootKey);
    if (object) {
      platform_read_ = true;
      return Adopt(object.value().value, object.value().version);
    }
    if (object.error().kind != ErrorKind::kNotFound) {
      return object.error();
    }
    platform_read_ = true;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  BOOST_OUTCOME_TRY(
      object, store_.Watch(kConfigRootKey, object_version_, kPollTimeout));
  platform_read_ = true;
  if (object) {
    return Adopt(object->value, object->version);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> ConfigStore::Adopt(std::string_view text,
                                std::uint64_t object_version) {
  BOOST_OUTCOME_TRY(root, ParseConfigRoot(text));
  LearnVersion(root.version);
  if (root.version <= root_.version) {
    if (root.version < root_.version && object_version > object_version_) {
      events_.Record(events::kConfigurationOlder,
                     {{"version", root.version}, {"in_force", root_.version}});
    }
    object_version_ = std::max(object_version_, object_version);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  if (!IsReady()) {
    LearnVersionsOfMembers();
    if (!platform_read_ || root.version < known_version_) {
      return MakeError(ErrorKind::kUnavailable,
                       "version " + std::to_string(known_version_) +
                           " is accepted but cannot be read yet");
    }
  }
  BOOST_OUTCOME_TRY(estate, BuildEstateOf(root));
  // Reading the content suspends this fiber; another one may have put a newer
  // configuration in force meanwhile.
  if (root.version > root_.version) {
    object_version_ = std::max(object_version_, object_version);
    PutInForce(std::move(root), std::string(text), std::move(estate));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::shared_ptr<const Estate>> ConfigStore::BuildEstateOf(
    const ConfigRoot& root) {
  std::vector<std::shared_ptr<const OperatorFile>> files;
  std::vector<const OperatorFile*> file_views;
  for (const auto& it : root.files) {
    BOOST_OUTCOME_TRY(file, contents_.ReadFile(it.second.content));
    file_views.push_back(file.get());
    files.push_back(std::move(file));
  }
  auto built = BuildEstate(root.version, file_views);
  if (!built.problems.empty()) {
    return MakeError(ErrorKind::kInternal, ToText(built.problems));
  }
  return std::make_shared<const Estate>(std::move(built.estate));
}

void ConfigStore::PutInForce(ConfigRoot root,
                             std::string text,
                             std::shared_ptr<const Estate> estate) {
  CheckInvariant(estate->version > estate_->version,
                 "configuration_version_never_falls",
                 {{"in_force", estate_->version}, {"new", estate->version}});
  delta_text_ = MakeDeltaText(root);
  root_ = std::move(root);
  root_text_ = std::move(text);
  estate_ = std::move(estate);
  contents_.RetainOnly(ContentHashesOf(root_));
  events_.Record(events::kConfigurationInForce, {{"version", root_.version}});
  // A handler may register another handler, which invalidates iterators.
  for (std::size_t i = 0; i < handlers_.size(); ++i) {
    handlers_[i]();
  }
}

void ConfigStore::RecordReadResult(const Result<void>& outcome) {
  if (outcome) {
    platform_reachable_ = true;
    return;
  }
  const auto& error = outcome.error();
  if (error.kind == ErrorKind::kInternal) {
    events_.Record(events::kConfigurationUnusable,
                   {{"version", known_version_}, {"cause", error.message}});
  } else if (platform_reachable_) {
    events_.Record(events::kConfigurationUnreachable,
                   {{"cause", error.message}});
    platform_reachable_ = false;
  }
}

void ConfigStore::LearnVersion(std::uint64_t version) {
  known_version_ = std::max(known_version_, version);
}

void ConfigStore::LearnVersionsOfMembers() {
  for (const auto& it : peers_.Members()) {
    LearnVersion(it.config_version);
  }
}

bool ConfigStore::IsWatcher() const {
  const auto live = peers_.LiveIds();
  const std::set<std::string> live_ids(live.begin(), live.end());
  std::vector<std::pair<std::uint64_t, std::string>> ranks;
  const auto add = [&](const std::string& id) {
    ranks.emplace_back(StableHash("config-watch/" + id), id);
  };
  for (const auto& it : peers_.Members()) {
    if (it.vm.id != peers_.node_id() && it.vm.data_centre == data_centre_ &&
        live_ids.contains(it.vm.id)) {
      add(it.vm.id);
    }
  }
  add(peers_.node_id());
  const auto n = std::min(kWatchersPerDataCentre, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(n), ranks.end(),
                    std::greater<>());
  return std::any_of(
      ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(n),
      [&](const auto& it) { return it.second == peers_.node_id(); });
}

Duration ConfigStore::PollInterval() const {
  const double shared_s =
      static_cast<double>(peers_.LiveIds().size()) / kMaxPollsPerSecond;
  return std::max(poll_interval_, std::chrono::duration_cast<Duration>(
                                      std::chrono::duration<double>(shared_s)));
}

void ConfigStore::WatchLoop(const StopFlag& stopped) {
  Duration retry = kMinWatchRetryDelay;
  while (!*stopped) {
    if (object_version_ == 0 || !IsWatcher()) {
      clock_.SleepFor(Jittered(kMinWatchRetryDelay));
      continue;
    }
    const auto object =
        store_.Watch(kConfigRootKey, object_version_, kWatchTimeout);
    if (*stopped) {
      return;
    }
    Result<void> outcome = BOOST_OUTCOME_V2_NAMESPACE::success();
    if (!object) {
      outcome = object.error();
    } else if (object.value()) {
      outcome = Adopt(object.value()->value, object.value()->version);
    }
    RecordReadResult(outcome);
    if (outcome) {
      retry = kMinWatchRetryDelay;
      AnnounceUnlessPeerDid(stopped);
    } else {
      clock_.SleepFor(Jittered(retry));
      retry = std::min<Duration>(2 * retry, kMaxWatchRetryDelay);
    }
  }
}

void ConfigStore::PollLoop(const StopFlag& stopped) {
  while (!*stopped) {
    const auto outcome = Refresh();
    if (*stopped) {
      return;
    }
    RecordReadResult(outcome);
    clock_.SleepFor(Jittered(PollInterval()));
  }
}

void ConfigStore::PeerCheckLoop(const StopFlag& stopped) {
  while (!*stopped) {
    LearnVersionsOfMembers();
    if (known_version_ > root_.version) {
      ScheduleRefresh();
    }
    UpdateLaggingMembers();
    clock_.SleepFor(Jittered(kPeerCheckInterval));
  }
}

void ConfigStore::ScheduleRefresh() {
  if (std::exchange(refresh_scheduled_, true)) {
    return;
  }
  StartFiber([this](const StopFlag& stopped) {
    // The delay spreads the reads of all members over time.
    clock_.SleepFor(
        RandomDelay(kMinRefreshDelay,
                    kRefreshDelayPerMember *
                        static_cast<std::int64_t>(peers_.LiveIds().size())));
    if (*stopped) {
      return;
    }
    refresh_scheduled_ = false;
    if (known_version_ > root_.version) {
      RecordReadResult(Refresh());
    }
  });
}

void ConfigStore::OnUpdate(const ConfigUpdate& update) {
  LearnVersion(update.version);
  peer_announced_version_ = std::max(peer_announced_version_, update.version);
  if (update.version <= root_.version) {
    return;
  }
  if (update.root.empty() || !platform_read_) {
    ScheduleRefresh();
    return;
  }
  StartFiber([this, update](const StopFlag& stopped) {
    const auto outcome = AdoptUpdate(update);
    if (!*stopped && !outcome) {
      ScheduleRefresh();
    }
  });
}

Result<void> ConfigStore::AdoptUpdate(const ConfigUpdate& update) {
  const auto value = nlohmann::json::parse(update.root, nullptr, false);
  try {
    if (value.contains("delta")) {
      return AdoptDelta(value.at("delta"), update.object_version);
    }
    const auto& contents = value.at("contents");
    for (const auto& it : contents.items()) {
      contents_.Add(it.key(), it.value().get<std::string>());
    }
    return Adopt(value.at("root").get<std::string>(), update.object_version);
  } catch (const nlohmann::json::exception& e) {
    return MakeError(ErrorKind::kInvalid, e.what());
  }
}

Result<void> ConfigStore::AdoptDelta(const nlohmann::json& value,
                                     std::uint64_t object_version) {
  BOOST_OUTCOME_TRY(delta, ParseConfigDelta(value));
  auto next = ApplyDelta(root_, delta);
  const auto before = contents_.ReadCached(delta.change.previous);
  const auto after =
      before ? ApplyPatch(*before, delta.text) : std::optional<std::string>();
  if (!next || !after) {
    return MakeError(
        ErrorKind::kUnavailable,
        "the delta does not apply to version " + std::to_string(root_.version));
  }
  contents_.AddText(*after);
  return Adopt(next->ToText(), object_version);
}

std::string ConfigStore::MakeDeltaText(const ConfigRoot& next) const {
  if (next.history.empty()) {
    return "";
  }
  const auto& change = next.history.back();
  const auto before = contents_.ReadCached(change.previous);
  const auto after = contents_.ReadCached(change.content);
  if (!before || !after) {
    return "";
  }
  const auto delta = MakeDelta(root_, next, *before, *after);
  return delta ? nlohmann::json{{"delta", delta->ToJson()}}.dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace)
               : "";
}

ConfigUpdate ConfigStore::MakeUpdate(std::size_t max_bytes) const {
  ConfigUpdate out{root_.version, object_version_, ""};
  std::size_t n = root_text_.size();
  nlohmann::json contents = nlohmann::json::object();
  // Newest first, since the receiver most likely lacks these.
  std::vector<const ConfigFileEntry*> files;
  for (const auto& it : root_.files) {
    files.push_back(&it.second);
  }
  std::sort(files.begin(), files.end(), [](const auto* a, const auto* b) {
    return a->version > b->version;
  });
  for (const auto* file : files) {
    for (const auto& hash : file->content) {
      const auto* text = contents_.Find(hash);
      if (text != nullptr && n + text->size() <= max_bytes) {
        n += text->size();
        contents[hash] = *text;
      }
    }
  }
  if (n <= max_bytes) {
    out.root =
        nlohmann::json{{"root", root_text_}, {"contents", contents}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  // Escaping may have made the text longer than the estimate above.
  if (out.root.size() > max_bytes) {
    out.root.clear();
  }
  return out;
}

void ConfigStore::Announce() {
  if (root_.version > announced_version_) {
    announced_version_ = root_.version;
    peers_.Broadcast(
        !delta_text_.empty() && delta_text_.size() <= kMaxAnnouncedBytes
            ? ConfigUpdate{root_.version, object_version_, delta_text_}
            : MakeUpdate(kMaxAnnouncedBytes));
  }
}

void ConfigStore::AnnounceUnlessPeerDid(const StopFlag& stopped) {
  if (root_.version <= std::max(peer_announced_version_, announced_version_)) {
    return;
  }
  clock_.SleepFor(RandomDelay(kMinAnnounceDelay, kAnnounceDelayJitter));
  if (!*stopped && root_.version > peer_announced_version_) {
    Announce();
  }
}

void ConfigStore::UpdateLaggingMembers() {
  if (!IsReady() || !IsWatcher()) {
    return;
  }
  std::set<std::string> lagging;
  std::size_t updated = 0;
  for (const auto& it : peers_.Members()) {
    if (!it.reachable || it.vm.id == peers_.node_id() ||
        it.vm.data_centre != data_centre_ ||
        it.config_version >= root_.version) {
      continue;
    }
    // A member found lagging for the first time most likely receives the
    // announcement before its next heartbeat.
    if (lagging_members_.contains(it.vm.id) && updated < kMaxUpdatedMembers) {
      ++updated;
      peers_.Send(it.vm.id, MakeUpdate(kMaxUpdateBytes));
    }
    lagging.insert(it.vm.id);
  }
  lagging_members_ = std::move(lagging);
}

Result<std::string> ConfigStore::FileText(std::string_view operator_name) {
  const auto it = root_.files.find(operator_name);
  if (it == root_.files.end()) {
    return MakeError(
        ErrorKind::kNotFound,
        "operator \"" + std::string(operator_name) + "\" has no file");
  }
  const auto hashes = it->second.content;
  return contents_.Read(hashes);
}

Result<std::vector<HistoryEntry>> ConfigStore::History(std::uint64_t before,
                                                       std::size_t limit) {
  std::vector<HistoryEntry> out;
  std::vector<HistoryEntry> entries = root_.history;
  std::string page = root_.history_page;
  while (true) {
    for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
      if (out.size() == limit) {
        return out;
      }
      if (it->version < before) {
        out.push_back(*it);
      }
    }
    if (page.empty() || out.size() == limit) {
      return out;
    }
    BOOST_OUTCOME_TRY(text, contents_.Read({page}));
    BOOST_OUTCOME_TRY(next, ParseHistoryPage(text));
    entries = std::move(next.entries);
    page = std::move(next.previous);
  }
}

Result<std::string> ConfigStore::FindOperatorByToken(
    std::string_view token) const {
  if (!IsReady()) {
    const bool none_exists = platform_read_ && known_version_ == 0;
    if (none_exists && !bootstrap_token_sha256_.empty() &&
        EqualInConstantTime(bootstrap_token_sha256_, Sha256Hex(token))) {
      return std::string(kEstateOperator);
    }
    return MakeError(ErrorKind::kInvalid, "no configuration is in force");
  }
  std::string found;
  for (const auto& it : estate_->operators) {
    if (estate_->IsOperatorToken(it.first, token)) {
      found = it.first;
    }
  }
  if (found.empty()) {
    return MakeError(ErrorKind::kInvalid, "the token belongs to no operator");
  }
  return found;
}

}  // namespace tanagerloom
