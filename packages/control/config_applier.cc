#include "control/config_applier.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/digest.h"
#include "config/estate_builder.h"
#include "config/file_diff.h"
#include "config/json_text.h"

namespace tanagerloom {

namespace {

// Limit on one apply call, for which the operator's client waits. The call
// survives a shorter outage of the platform.
constexpr auto kApplyTimeout = std::chrono::seconds(10);
constexpr auto kMinRetryDelay = std::chrono::milliseconds(5);
constexpr double kMaxRetryJitterMs = 45;
constexpr std::size_t kMaxAuthorBytes = 100;

/// A random delay before the next attempt.
Duration RetryDelay() {
  return kMinRetryDelay + std::chrono::microseconds(static_cast<std::int64_t>(
                              1000 * kMaxRetryJitterMs * RandomUnit()));
}

bool MayHaveTakenEffect(ErrorKind kind) {
  return kind == ErrorKind::kUnknown || kind == ErrorKind::kTimeout;
}

/// Who applied a file: the operator whose token was used, and the author.
std::string FormatAuthor(const ConfigFileEntry& entry) {
  return "\"" + entry.by + "\"" +
         (entry.author.empty() ? "" : " (" + entry.author + ")");
}

Error ReadError(const Error& error) {
  const bool is_internal = error.kind == ErrorKind::kInternal;
  return MakeError(is_internal ? ErrorKind::kInternal : ErrorKind::kUnavailable,
                   "cannot read the configuration: " + error.message);
}

}  // namespace

/// The configuration that one attempt to apply a file is based on.
struct ConfigApplier::Snapshot {
  ConfigRoot root;
  std::string text;
  std::uint64_t object_version = 0;
  std::map<std::string, std::shared_ptr<const OperatorFile>> files;
  Estate estate;
};

/// The root object after a write has taken effect.
struct ConfigApplier::WrittenRoot {
  std::string text;
  std::uint64_t object_version = 0;
};

ConfigApplier::ConfigApplier(ObjectStore& store,
                             ContentCache& contents,
                             Clock& clock,
                             EventLog& events,
                             std::string bootstrap_token_sha256,
                             std::function<std::uint64_t()> known_version)
    : store_(store),
      contents_(contents),
      clock_(clock),
      events_(events),
      bootstrap_token_sha256_(std::move(bootstrap_token_sha256)),
      known_version_(std::move(known_version)) {}

Result<ApplyOutcome> ConfigApplier::Apply(const ApplyRequest& request) {
  const auto deadline = clock_.Now() + kApplyTimeout;
  const std::string id = NewId("apply-");
  for (int attempt = 1;; ++attempt) {
    BOOST_OUTCOME_TRY(outcome, ApplyOnce(request, id, deadline));
    if (outcome) {
      return std::move(*outcome);
    }
    events_.Record(events::kConfigurationRetried,
                   {{"operator", request.operator_name}, {"attempt", attempt}});
    if (clock_.Now() >= deadline) {
      return MakeError(ErrorKind::kUnavailable,
                       "conflicts with changes of other operators in " +
                           std::to_string(attempt) +
                           " attempts; nothing was changed");
    }
    clock_.SleepFor(RetryDelay());
  }
}

Result<ConfigApplier::Snapshot> ConfigApplier::ReadSnapshot() {
  Snapshot out;
  const auto object = store_.Get(kConfigRootKey);
  if (!object) {
    if (object.error().kind == ErrorKind::kNotFound) {
      return out;
    }
    return ReadError(object.error());
  }
  out.text = object.value().value;
  out.object_version = object.value().version;
  BOOST_OUTCOME_TRY(root, ParseConfigRoot(out.text));
  out.root = std::move(root);
  std::vector<const OperatorFile*> files;
  for (const auto& it : out.root.files) {
    auto file = contents_.ReadFile(it.second.content);
    if (!file) {
      return ReadError(file.error());
    }
    files.push_back(file.value().get());
    out.files.emplace(it.first, std::move(file.value()));
  }
  // Problems are ignored here and found by the check of the new state, since
  // the new file may solve them.
  out.estate = BuildEstate(out.root.version, files).estate;
  return out;
}

Result<std::string> ConfigApplier::AuthenticateOperator(
    const ApplyRequest& request,
    const Snapshot& snapshot) const {
  if (snapshot.root.files.empty()) {
    const bool is_bootstrap_token =
        !bootstrap_token_sha256_.empty() &&
        EqualInConstantTime(bootstrap_token_sha256_, Sha256Hex(request.token));
    if (is_bootstrap_token && request.operator_name == kEstateOperator) {
      return std::string(kEstateOperator);
    }
    return MakeError(
        ErrorKind::kInvalid,
        "no configuration exists; the file of operator \"estate\" must be "
        "applied first, with the bootstrap token of this node's settings");
  }
  if (snapshot.estate.IsOperatorToken(request.operator_name, request.token)) {
    return request.operator_name;
  }
  if (snapshot.estate.IsOperatorToken(kEstateOperator, request.token)) {
    return std::string(kEstateOperator);
  }
  return MakeError(ErrorKind::kInvalid,
                   "the token is neither that of operator \"" +
                       request.operator_name + "\" nor that of \"estate\"");
}

Result<std::optional<ApplyOutcome>> ConfigApplier::ApplyOnce(
    const ApplyRequest& request,
    const std::string& id,
    TimePoint deadline) {
  BOOST_OUTCOME_TRY(snapshot, ReadSnapshot());
  BOOST_OUTCOME_TRY(by, AuthenticateOperator(request, snapshot));
  auto parsed = ParseOperatorFile(request.text);
  if (parsed.problems.empty() &&
      parsed.file.operator_name != request.operator_name) {
    parsed.problems.push_back(
        {"/operator", "value \"" + parsed.file.operator_name +
                          "\"; allowed: \"" + request.operator_name +
                          "\", the operator in the path of the request"});
  }
  if (!parsed.problems.empty()) {
    return MakeError(ErrorKind::kInvalid, ToText(parsed.problems));
  }
  BOOST_OUTCOME_TRY(next,
                    BuildNextRoot(request, id, by, parsed.file, snapshot));
  if (next.version == 0) {
    return std::optional(ApplyOutcome{snapshot.root.version, false,
                                      snapshot.text, snapshot.object_version});
  }
  BOOST_OUTCOME_TRY(written_root, WriteRoot(next, snapshot, id, deadline));
  if (!written_root) {
    return std::optional<ApplyOutcome>();
  }
  return std::optional(ApplyOutcome{next.version, true,
                                    std::move(written_root->text),
                                    written_root->object_version});
}

Result<ConfigRoot> ConfigApplier::BuildNextRoot(const ApplyRequest& request,
                                                const std::string& id,
                                                const std::string& by,
                                                const OperatorFile& file,
                                                const Snapshot& snapshot) {
  const auto it = snapshot.root.files.find(request.operator_name);
  const auto* previous =
      it == snapshot.root.files.end() ? nullptr : &it->second;
  const std::uint64_t file_version =
      previous == nullptr ? 0 : previous->version;
  if (request.expected_version && *request.expected_version != file_version) {
    return MakeError(
        ErrorKind::kConflict,
        "the file of \"" + request.operator_name + "\" is at version " +
            std::to_string(file_version) +
            (previous == nullptr ? std::string(" (it does not exist)")
                                 : ", applied by " + FormatAuthor(*previous)) +
            "; expected version " + std::to_string(*request.expected_version));
  }
  std::vector<const OperatorFile*> files{&file};
  for (const auto& other : snapshot.files) {
    if (other.first != request.operator_name) {
      files.push_back(other.second.get());
    }
  }
  const auto estate = BuildEstate(snapshot.root.version + 1, files);
  if (!estate.problems.empty()) {
    return MakeError(ErrorKind::kInvalid, ToText(estate.problems));
  }
  BOOST_OUTCOME_TRY(content, contents_.Write(request.text));
  if (previous != nullptr && previous->content == content) {
    return ConfigRoot{};
  }
  BOOST_OUTCOME_TRY(change, ChangeSummary(request, previous));
  ConfigRoot next = snapshot.root;
  next.version = std::max(next.version, known_version_()) + 1;
  const auto at_ms = static_cast<std::uint64_t>(clock_.WallNow().count());
  const auto author = request.author.substr(0, kMaxAuthorBytes);
  HistoryEntry entry{
      id,
      next.version,
      request.operator_name,
      by,
      author,
      at_ms,
      std::move(change),
      content,
      previous == nullptr ? std::vector<std::string>() : previous->content};
  if (!file.empty()) {
    next.files.insert_or_assign(
        request.operator_name,
        ConfigFileEntry{next.version, std::move(content), by, author, at_ms});
  } else {
    next.files.erase(request.operator_name);
  }
  if (next.history.size() >= kInlineHistoryEntries) {
    const HistoryPage page{std::move(next.history), next.history_page};
    BOOST_OUTCOME_TRY(hash, contents_.Write(page.ToText()));
    next.history.clear();
    next.history_page = hash.front();
  }
  next.history.push_back(std::move(entry));
  return next;
}

Result<std::string> ConfigApplier::ChangeSummary(
    const ApplyRequest& request,
    const ConfigFileEntry* previous) {
  std::vector<ConfigProblem> ignored;
  nlohmann::json before = nlohmann::json::object();
  if (previous != nullptr) {
    BOOST_OUTCOME_TRY(text, contents_.Read(previous->content));
    before = ParseJsonText(text, ignored);
  }
  const auto summary = SummarizeChanges(
      DiffFiles(std::move(before), ParseJsonText(request.text, ignored)));
  return summary.empty() ? "comments or layout" : summary;
}

Result<std::optional<ConfigApplier::WrittenRoot>> ConfigApplier::WriteRoot(
    const ConfigRoot& root,
    const Snapshot& snapshot,
    const std::string& id,
    TimePoint deadline) {
  const std::string text = root.ToText();
  bool is_unconfirmed = false;
  while (true) {
    const auto put = store_.Put(kConfigRootKey, text, snapshot.object_version);
    if (put) {
      return std::optional(WrittenRoot{text, put.value()});
    }
    const auto kind = put.error().kind;
    is_unconfirmed = is_unconfirmed || MayHaveTakenEffect(kind);
    if (kind == ErrorKind::kConflict && !is_unconfirmed) {
      return std::optional<WrittenRoot>();
    }
    if (is_unconfirmed) {
      std::uint64_t object_version = 0;
      auto found = ReadBack(id, root.version, object_version);
      if (found && found.value()) {
        return found;
      }
      // The unconfirmed write is conditional, so it cannot take effect any more
      // once the object has another version.
      if (found && object_version != snapshot.object_version) {
        return std::optional<WrittenRoot>();
      }
    }
    if (clock_.Now() >= deadline) {
      return is_unconfirmed
                 ? MakeError(ErrorKind::kUnknown,
                             "it is unknown whether the file was accepted; "
                             "check the history before applying it again")
                 : MakeError(ErrorKind::kUnavailable,
                             "nothing was changed: " + put.error().message);
    }
    clock_.SleepFor(RetryDelay());
  }
}

Result<std::optional<ConfigApplier::WrittenRoot>> ConfigApplier::ReadBack(
    const std::string& id,
    std::uint64_t version,
    std::uint64_t& object_version) {
  auto object = store_.Get(kConfigRootKey);
  if (!object) {
    if (object.error().kind == ErrorKind::kNotFound) {
      return std::optional<WrittenRoot>();
    }
    return object.error();
  }
  object_version = object.value().version;
  BOOST_OUTCOME_TRY(root, ParseConfigRoot(object.value().value));
  BOOST_OUTCOME_TRY(is_contained, HistoryContains(root, id, version));
  if (!is_contained) {
    return std::optional<WrittenRoot>();
  }
  return std::optional(
      WrittenRoot{std::move(object.value().value), object_version});
}

Result<bool> ConfigApplier::HistoryContains(const ConfigRoot& root,
                                            const std::string& id,
                                            std::uint64_t version) {
  std::vector<HistoryEntry> entries = root.history;
  std::string page = root.history_page;
  while (true) {
    if (std::any_of(entries.begin(), entries.end(),
                    [&](const auto& it) { return it.id == id; })) {
      return true;
    }
    // Entries are ordered by version, so older pages cannot contain it.
    const bool is_older =
        !entries.empty() && entries.front().version <= version;
    if (page.empty() || is_older) {
      return false;
    }
    BOOST_OUTCOME_TRY(text, contents_.Read({page}));
    BOOST_OUTCOME_TRY(next, ParseHistoryPage(text));
    entries = std::move(next.entries);
    page = std::move(next.previous);
  }
}

}  // namespace tanagerloom
