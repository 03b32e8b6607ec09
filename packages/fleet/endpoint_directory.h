// Defines EndpointDirectory, the endpoints that may be used, from what the
// platform's list says and when the list could be read.
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

/// What a call changed, for logs and for those who use the endpoints.
struct DirectoryChange {
  std::vector<std::string> listed;
  std::vector<std::string> draining;
  std::vector<std::string> gone;

  bool empty() const {
    return listed.empty() && draining.empty() && gone.empty();
  }
};

/// The registered endpoints. Answers the load of servers that leave, lapse
/// while the list is away, restart under their old id, or are described late.
class EndpointDirectory {
 public:
  /// An endpoint whose entry lapsed while the list was away is kept for this
  /// time after the list's return, in which a live one registers again.
  static constexpr Duration kReregistrationGrace =
      std::chrono::milliseconds(1800);

  /// Takes the whole list: an endpoint that is missing has left.
  DirectoryChange Replace(std::vector<EndpointRecord> records, TimePoint now);

  /// Takes one changed entry.
  DirectoryChange Update(EndpointRecord record, TimePoint now);

  /// Takes the removal of an entry, or one that names no usable endpoint.
  DirectoryChange Remove(const std::string& id, TimePoint now);

  /// The list cannot be read.
  void OnListUnavailable() { list_unavailable_ = true; }

  /// The list can be read again.
  void OnListAvailable(TimePoint now);

  /// Drops the endpoints whose grace has passed.
  DirectoryChange Expire(TimePoint now);

  const EndpointRecord* Find(std::string_view id) const;

  /// When an endpoint's description last changed here.
  TimePoint ChangedAt(std::string_view id) const;

  /// All endpoints, draining ones included, by id.
  const std::map<std::string, EndpointRecord, std::less<>>& records() const {
    return records_;
  }

 private:
  bool IsInGrace(TimePoint now) const;
  void Insert(EndpointRecord record, TimePoint now, DirectoryChange& change);

  std::map<std::string, EndpointRecord, std::less<>> records_;
  std::map<std::string, TimePoint, std::less<>> changed_at_;
  /// Entries that are missing and dropped at the given time.
  std::map<std::string, TimePoint, std::less<>> removal_at_;
  bool list_unavailable_ = false;
  std::optional<TimePoint> available_at_;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_DIRECTORY_H_
