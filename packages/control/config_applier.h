// Defines ConfigApplier, which accepts or refuses an operator's file as a
// whole. A file takes effect only by the conditional update of the root object,
// which keeps changes that are applied at the same time consistent.
#ifndef CONTROL_CONFIG_APPLIER_H_
#define CONTROL_CONFIG_APPLIER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "config/estate.h"
#include "control/config_root.h"
#include "control/content_cache.h"
#include "ports/object_store.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EventLog;

/// A request to apply a file.
struct ApplyRequest {
  std::string operator_name;  ///< Operator that the file belongs to.
  std::string text;           ///< The file, JSON with comments.
  std::string token;          ///< Token of the operator or of "estate".
  /// Configuration version that last changed this file, as known to the client;
  /// 0 if there was no file. Empty skips the check.
  std::optional<std::uint64_t> expected_version;
  std::string author;  ///< Free text for the history, truncated to 100 bytes.
};

/// An accepted file.
struct ApplyOutcome {
  std::uint64_t version = 0;  ///< Configuration version with the file.
  bool changed = true;        ///< False if the same file was already in force.
  std::string root_text;      ///< Text of the root object.
  std::uint64_t object_version = 0;  ///< Version of the root object.
};

/// Applies files by writing them to the object store.
class ConfigApplier {
 public:
  /// `bootstrap_token_sha256` may be empty, which forbids the first file.
  /// `known_version` returns the highest configuration version known to this
  /// node; new versions are above it.
  ConfigApplier(ObjectStore& store,
                ContentCache& contents,
                Clock& clock,
                EventLog& events,
                std::string bootstrap_token_sha256,
                std::function<std::uint64_t()> known_version);

  /// Applies a file. Errors: kInvalid (the file or token is invalid),
  /// kConflict (the file does not have the expected version), kUnavailable (the
  /// platform is unavailable or other changes came first until the timeout),
  /// all three without a change, and kUnknown (whether the file was accepted is
  /// unknown).
  Result<ApplyOutcome> Apply(const ApplyRequest& request);

 private:
  struct Snapshot;
  struct WrittenRoot;

  Result<Snapshot> ReadSnapshot();
  /// The operator whose token the request has: that of the file or "estate".
  Result<std::string> AuthenticateOperator(const ApplyRequest& request,
                                           const Snapshot& snapshot) const;
  /// Makes one attempt; empty if another change came first.
  Result<std::optional<ApplyOutcome>> ApplyOnce(const ApplyRequest& request,
                                                const std::string& id,
                                                TimePoint deadline);
  /// Checks the new configuration and writes its content; version 0 if the file
  /// is already in force unchanged.
  Result<ConfigRoot> BuildNextRoot(const ApplyRequest& request,
                                   const std::string& id,
                                   const std::string& by,
                                   const OperatorFile& file,
                                   const Snapshot& snapshot);
  /// One line for the history on what the file changes.
  Result<std::string> ChangeSummary(const ApplyRequest& request,
                                    const ConfigFileEntry* previous);
  /// Writes the root and determines whether the write took effect; empty on a
  /// conflict.
  Result<std::optional<WrittenRoot>> WriteRoot(const ConfigRoot& root,
                                               const Snapshot& snapshot,
                                               const std::string& id,
                                               TimePoint deadline);
  /// Reads the root after an unconfirmed write and sets `object_version` to the
  /// version found; empty if the root does not contain the change `id`.
  Result<std::optional<WrittenRoot>> ReadBack(const std::string& id,
                                              std::uint64_t version,
                                              std::uint64_t& object_version);
  /// Whether the history contains the change `id`, which made `version` if it
  /// took effect.
  Result<bool> HistoryContains(const ConfigRoot& root,
                               const std::string& id,
                               std::uint64_t version);

  ObjectStore& store_;
  ContentCache& contents_;
  Clock& clock_;
  EventLog& events_;
  std::string bootstrap_token_sha256_;
  std::function<std::uint64_t()> known_version_;
};

}  // namespace tanagerloom

#endif  // CONTROL_CONFIG_APPLIER_H_
