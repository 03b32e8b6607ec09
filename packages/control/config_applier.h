// Defines ConfigApplier, which accepts an operator's file entirely or refuses
// it entirely. The conditional update of the root is the single point at which
// a file takes effect, whoever else applies at the same time.
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

/// One call to apply a file.
struct ApplyRequest {
  std::string operator_name;  ///< Whose file it is.
  std::string text;           ///< JSON with comments.
  std::string token;          ///< The operator's, or that of "estate".
  /// The configuration version that last changed this file, as the client saw
  /// it; 0 if there was no file. Empty accepts any.
  std::optional<std::uint64_t> expected_version;
  std::string author;  ///< Free text for the history.
};

/// An accepted file.
struct ApplyOutcome {
  std::uint64_t version = 0;  ///< Of the configuration that contains the file.
  bool changed = true;        ///< False if the same file was already in force.
  std::string root_text;
  std::uint64_t object_version = 0;
};

/// Applies files through the object API.
class ConfigApplier {
 public:
  /// `bootstrap_token_sha256` may be empty. `known_version` gives the highest
  /// configuration version this node knows of; new ones are above it.
  ConfigApplier(ObjectStore& store,
                ContentCache& contents,
                Clock& clock,
                EventLog& events,
                std::string bootstrap_token_sha256,
                std::function<std::uint64_t()> known_version);

  /// Errors: kInvalid (the file or token; nothing changed), kConflict (another
  /// change came first; nothing changed), kUnavailable (nothing changed),
  /// kUnknown (the platform can't tell whether the file was accepted).
  Result<ApplyOutcome> Apply(const ApplyRequest& request);

 private:
  struct Snapshot;
  struct WrittenRoot;

  Result<Snapshot> ReadSnapshot();
  Result<std::string> AuthenticateOperator(const ApplyRequest& request,
                                           const Snapshot& snapshot) const;
  /// One attempt; empty if another change came first.
  Result<std::optional<ApplyOutcome>> ApplyOnce(const ApplyRequest& request,
                                                const std::string& id,
                                                TimePoint deadline);
  Result<ConfigRoot> BuildNextRoot(const ApplyRequest& request,
                                   const std::string& id,
                                   const std::string& by,
                                   const OperatorFile& file,
                                   const Snapshot& snapshot);
  Result<std::string> ChangeSummary(const ApplyRequest& request,
                                    const ConfigFileEntry* previous);
  /// Writes the root and finds out whether it took effect; empty on a conflict.
  Result<std::optional<WrittenRoot>> WriteRoot(const ConfigRoot& root,
                                               const Snapshot& snapshot,
                                               const std::string& id,
                                               TimePoint deadline);
  /// Reads the root back after a lost answer; empty if this cannot be done.
  Result<std::optional<WrittenRoot>> ReadBack(const std::string& id,
                                              std::uint64_t version,
                                              std::uint64_t& object_version);
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
