// Defines EndpointDirectory, the registered endpoints according to the
// platform's list. It keeps endpoints usable while the list is unavailable.
#ifndef FLEET_ENDPOINT_DIRECTORY_H_
#define FLEET_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/endpoint_record.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Ids of the endpoints that a call changed, for logs and dependent state.
/// `listed` are new or updated, `draining` started to drain, `gone` were
/// removed.
struct DirectoryChange {
  std::vector<std::string> listed;
  std::vector<std::string> draining;
  std::vector<std::string> gone;

  bool empty() const {
    return listed.empty() && draining.empty() && gone.empty();
  }
};

/// The registered endpoints by id. Handles endpoints that leave, whose entry
/// expires while the list is unavailable, that restart under the same id, or
/// whose entries arrive late or out of order.
class EndpointDirectory {
 public:
  /// How long an endpoint is kept whose entry expired during an outage of the
  /// list, counted from the end of the outage. A live endpoint registers again
  /// within this time.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(1800);
  /// How long the last entry of a removed endpoint is remembered. A list that
  /// comes back from a copy is older by less, and a late entry arrives sooner.
  static constexpr Duration kRemovedMemory = std::chrono::seconds(30);
  /// Max number of draining endpoints that are remembered, the latest ones.
  static constexpr std::size_t kMaxRememberedDraining = 4096;

  /// Sets after how long a silence of an endpoint its entry is removed.
  void SetMaxSilence(Duration max_silence) { max_silence_ = max_silence; }

  /// Replaces all entries by a complete list. Endpoints missing from it are
  /// removed, or kept for the grace time after an outage.
  DirectoryChange Replace(std::vector<EndpointRecord> records, TimePoint now);

  /// Adds or updates one entry.
  DirectoryChange Update(EndpointRecord record, TimePoint now);

  /// An endpoint itself says that this start of it leaves, whether it is listed
  /// or not. Returns whether this is news.
  bool OnLeaving(const std::string& id, std::uint64_t boot, TimePoint now);

  /// Removes an entry that was deleted or no longer describes a usable
  /// endpoint. It is kept for the grace time after an outage unless it was
  /// draining.
  DirectoryChange Remove(const std::string& id, TimePoint now);

  /// The list cannot be read: no endpoint is removed until it is available.
  void OnListUnavailable() { list_unavailable_ = true; }

  /// The list can be read again; starts the grace time after an outage.
  void OnListAvailable(TimePoint now);

  /// Removes the endpoints whose grace time has passed, and lists those whose
  /// entry was held back and outlived a silence.
  DirectoryChange Expire(TimePoint now);

  /// Returns an endpoint by id; null if it is unknown.
  const EndpointRecord* Find(std::string_view id) const;

  /// Returns when the entry of an endpoint last changed here; the epoch if the
  /// endpoint is unknown.
  TimePoint ChangedAt(std::string_view id) const;

  /// All endpoints by id, including draining ones.
  const std::map<std::string, EndpointRecord, std::less<>>& records() const {
    return records_;
  }

 private:
  /// Returns whether missing endpoints are kept: during an outage of the list
  /// and the grace time after it.
  bool IsInGrace(TimePoint now) const;
  /// Adds or updates an entry unless it is older than the known one.
  void Insert(EndpointRecord record, TimePoint now, DirectoryChange& change);

  std::map<std::string, EndpointRecord, std::less<>> records_;
  std::map<std::string, TimePoint, std::less<>> changed_at_;
  /// Which start of a removed endpoint wrote its last entry, and when the
  /// endpoint was removed.
  struct RemovedEndpoint {
    std::uint64_t boot = 0;
    std::uint64_t entry_sequence = 0;
    TimePoint removed_at{};
  };

  /// Removes a listed endpoint and remembers its last entry.
  void Erase(const std::string& id, TimePoint now);
  /// Returns whether an entry is not newer than the last one of an endpoint
  /// that was removed. It came back with a copy of the list, or arrived late.
  bool IsOutdated(const EndpointRecord& record, TimePoint now) const;
  /// Adds an endpoint that is not listed.
  void List(EndpointRecord record, TimePoint now, DirectoryChange& change);
  /// A start of an endpoint that drains.
  struct DrainingStart {
    std::uint64_t boot = 0;
    TimePoint noted_at{};
  };

  /// Marks the start of an endpoint as draining, also in later entries.
  void RememberDraining(const std::string& id,
                        std::uint64_t boot,
                        TimePoint now);
  /// Returns whether the start of an endpoint drains, or is older than one that
  /// does.
  bool IsDraining(std::string_view id, std::uint64_t boot) const;

  /// The latest draining start of each endpoint, by id. Kept while it is not
  /// listed: an entry may come back and say that the endpoint is ready.
  std::map<std::string, DrainingStart, std::less<>> draining_starts_;
  /// Endpoints missing from the list, with the time at which they are removed.
  std::map<std::string, TimePoint, std::less<>> removal_at_;
  std::map<std::string, RemovedEndpoint, std::less<>> removed_;
  /// An outdated entry, and since when it is there.
  struct HeldBackEntry {
    EndpointRecord record;
    TimePoint since{};
  };
  /// Outdated entries by id. That of an endpoint which has gone is removed
  /// after the max silence; one that stays belongs to a live endpoint.
  std::map<std::string, HeldBackEntry, std::less<>> held_back_;
  Duration max_silence_ = std::chrono::milliseconds(3600);
  bool list_unavailable_ = false;
  std::optional<TimePoint> available_at_;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_DIRECTORY_H_
