#include "routing/crash_quarantine.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/settings.h"
#include "ports/object_store.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr std::string_view kPrefix = "crashes/";

// Max number of fingerprints in one range, so that a client that keeps sending
// new crashing requests cannot grow the object beyond its size limit. The
// counts that expire first are removed.
constexpr std::size_t kMaxCountsPerRange = 2000;

// Max number of fingerprints that a node keeps in memory.
constexpr std::size_t kMaxCounts = 20000;

// Max time that a retry is delayed until its count is stored.
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr Duration kStoreRetryInterval = std::chrono::milliseconds(30);

// Interval of reading the stored counts, which makes up for lost notices. It
// grows with the number of members, so that all nodes together read less than
// 20 times a second.
constexpr Duration kRefreshIntervalPerMember = std::chrono::milliseconds(50);
constexpr Duration kMinRefreshInterval = std::chrono::seconds(2);

std::string FingerprintText(std::uint64_t fingerprint) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out(16, '0');
  for (auto it = out.rbegin(); it != out.rend(); ++it, fingerprint >>= 4) {
    *it = kDigits[fingerprint & 15];
  }
  return out;
}

std::optional<std::uint64_t> ParseFingerprint(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, 16);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(value)
                                                       : std::nullopt;
}

json ParseRange(std::string_view text) {
  auto doc = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return doc.is_object() ? doc : json::object();
}

// Removes expired counts and, beyond kMaxCountsPerRange, those that expire
// first.
void Prune(json& range, std::int64_t now_ms) {
  for (auto it = range.begin(); it != range.end();) {
    const bool expired =
        !it->is_object() || it->value("until_ms", std::int64_t{0}) < now_ms;
    it = expired ? range.erase(it) : std::next(it);
  }
  while (range.size() > kMaxCountsPerRange) {
    range.erase(std::min_element(range.begin(), range.end(),
                                 [](const json& a, const json& b) {
                                   return a.value("until_ms", std::int64_t{0}) <
                                          b.value("until_ms", std::int64_t{0});
                                 }));
  }
}

// Adds a crash to a range and returns the new count. The ids of the last
// crashes are kept, so that a write whose answer was lost can be retried
// without counting the crash twice.
std::uint32_t CountCrash(json& range,
                         const std::string& name,
                         bool exclusive,
                         std::uint32_t limit,
                         std::int64_t until_ms,
                         const std::string& event) {
  constexpr std::size_t kMaxEvents = 8;
  auto& entry = range[name];
  if (!entry.is_object()) {
    entry = {{"crashes", 0}, {"events", json::array()}};
  }
  auto& events = entry["events"];
  const auto crashes = entry.value("crashes", std::uint32_t{0});
  if (std::find(events.begin(), events.end(), event) != events.end()) {
    return crashes;
  }
  events.push_back(event);
  if (events.size() > kMaxEvents) {
    events.erase(events.begin());
  }
  const auto next = NextCrashCount(crashes, exclusive, limit);
  entry["crashes"] = next;
  entry["until_ms"] = until_ms;
  return next;
}

}  // namespace

std::uint32_t NextCrashCount(std::uint32_t count,
                             bool exclusive,
                             std::uint32_t limit) {
  if (exclusive || limit <= 1 || count >= limit) {
    return count + 1;
  }
  return std::min(count + 1, limit - 1);
}

CrashQuarantine::CrashQuarantine(const RoutingDependencies& deps)
    : deps_(deps) {}

void CrashQuarantine::Start() {
  boost::fibers::fiber([this] { RefreshLoop(); }).detach();
}

std::uint32_t CrashQuarantine::CountOf(std::uint64_t fingerprint) const {
  const auto it = counts_.find(fingerprint);
  return it == counts_.end() || it->second.expires <= deps_.clock.Now()
             ? 0
             : it->second.crashes;
}

std::optional<Refusal> CrashQuarantine::Check(std::uint64_t fingerprint) const {
  const auto crashes = CountOf(fingerprint);
  if (crashes < deps_.settings.crash_limit) {
    return std::nullopt;
  }
  return Refusal{422, "quarantined",
                 "this request crashed " + std::to_string(crashes) +
                     " endpoints and is refused for a time",
                 Verdict::kNotRun,
                 counts_.at(fingerprint).expires - deps_.clock.Now()};
}

void CrashQuarantine::MergeCount(std::uint64_t fingerprint,
                                 std::uint32_t crashes,
                                 Duration valid) {
  const auto now = deps_.clock.Now();
  if (counts_.size() >= kMaxCounts) {
    std::erase_if(counts_,
                  [&](const auto& it) { return it.second.expires <= now; });
  }
  if (counts_.size() >= kMaxCounts) {
    return;
  }
  auto& count = counts_[fingerprint];
  if (count.expires <= now) {
    count.crashes = 0;
  }
  count.crashes = std::max(count.crashes, crashes);
  count.expires = std::max(count.expires, now + valid);
}

void CrashQuarantine::AnnounceCount(std::uint64_t fingerprint) {
  deps_.peers.Broadcast(CrashNotice{
      fingerprint, CountOf(fingerprint),
      static_cast<std::uint64_t>(deps_.settings.quarantine_time.count())});
}

void CrashQuarantine::OnCrash(std::uint64_t fingerprint,
                              bool exclusive,
                              const std::string& request,
                              const std::string& endpoint) {
  const auto limit = deps_.settings.crash_limit;
  MergeCount(fingerprint,
             NextCrashCount(CountOf(fingerprint), exclusive, limit),
             deps_.settings.quarantine_time);
  AnnounceCount(fingerprint);
  const auto local = CountOf(fingerprint);
  const auto stored =
      UpdateStoredCount(fingerprint, exclusive, NewId("crash-"));
  if (stored > local) {
    MergeCount(fingerprint, stored, deps_.settings.quarantine_time);
    AnnounceCount(fingerprint);
  }
  const auto crashes = CountOf(fingerprint);
  deps_.log.Record(events::kRequestCrashedEndpoint,
                   {{"request", request},
                    {"endpoint", endpoint},
                    {"fingerprint", FingerprintText(fingerprint)},
                    {"crashes", crashes}});
  if (crashes >= limit) {
    deps_.log.Record(events::kRequestQuarantined,
                     {{"fingerprint", FingerprintText(fingerprint)},
                      {"crashes", crashes},
                      {"ms", deps_.settings.quarantine_time.count()}});
  }
}

void CrashQuarantine::ClearSuspect(std::uint64_t fingerprint) {
  if (counts_.erase(fingerprint) == 0) {
    return;
  }
  AnnounceCount(fingerprint);
  boost::fibers::fiber([this, fingerprint] {
    UpdateStoredCount(fingerprint, /*exclusive=*/false, /*event=*/"");
  }).detach();
}

std::uint32_t CrashQuarantine::UpdateStoredCount(std::uint64_t fingerprint,
                                                 bool exclusive,
                                                 const std::string& event) {
  const auto name = FingerprintText(fingerprint);
  const auto key = std::string(kPrefix) + name.substr(0, 1);
  const auto end = deps_.clock.Now() + kStoreTimeout;
  while (deps_.clock.Now() < end) {
    const auto object = deps_.objects.Get(key);
    const bool found = static_cast<bool>(object);
    if (found || object.assume_error().kind == ErrorKind::kNotFound) {
      const auto now_ms = deps_.clock.WallNow().count();
      json range =
          found ? ParseRange(object.assume_value().value) : json::object();
      const json before = range;
      std::uint32_t crashes = 0;
      if (event.empty()) {
        range.erase(name);
      } else {
        crashes =
            CountCrash(range, name, exclusive, deps_.settings.crash_limit,
                       now_ms + deps_.settings.quarantine_time.count(), event);
      }
      Prune(range, now_ms);
      if (range == before ||
          deps_.objects.Put(key, range.dump(),
                            found ? object.assume_value().version : 0)) {
        return crashes;
      }
    }
    deps_.clock.SleepFor(kStoreRetryInterval);
  }
  return 0;
}

void CrashQuarantine::OnPeerMessage(const PeerMessage& message) {
  const auto* notice = std::get_if<CrashNotice>(&message);
  if (notice == nullptr) {
    return;
  }
  if (notice->crashes == 0) {
    counts_.erase(notice->fingerprint);
    return;
  }
  MergeCount(notice->fingerprint, notice->crashes,
             std::min<Duration>(std::chrono::milliseconds(notice->valid_ms),
                                deps_.settings.quarantine_time));
}

void CrashQuarantine::RefreshLoop() {
  while (true) {
    Refresh();
    const auto members =
        static_cast<std::int64_t>(deps_.peers.Members().size());
    deps_.clock.SleepFor(
        std::max(kMinRefreshInterval, kRefreshIntervalPerMember * members));
  }
}

void CrashQuarantine::Refresh() {
  const auto keys = deps_.objects.List(kPrefix);
  if (!keys) {
    return;
  }
  for (const auto& it : keys.assume_value()) {
    auto& version = versions_[it.key];
    if (version >= it.version) {
      continue;
    }
    if (const auto object = deps_.objects.Get(it.key)) {
      version = object.assume_value().version;
      MergeRange(object.assume_value().value);
    }
  }
}

void CrashQuarantine::MergeRange(const std::string& text) {
  const auto now_ms = deps_.clock.WallNow().count();
  const json range = ParseRange(text);
  for (const auto& [name, entry] : range.items()) {
    const auto fingerprint = ParseFingerprint(name);
    if (!fingerprint || !entry.is_object()) {
      continue;
    }
    const auto left = entry.value("until_ms", std::int64_t{0}) - now_ms;
    if (left > 0) {
      MergeCount(*fingerprint, entry.value("crashes", std::uint32_t{0}),
                 std::chrono::milliseconds(left));
    }
  }
}

json CrashQuarantine::Status() const {
  std::size_t quarantined = 0;
  for (const auto& [fingerprint, count] : counts_) {
    quarantined += CountOf(fingerprint) >= deps_.settings.crash_limit ? 1 : 0;
  }
  return {{"suspects", counts_.size()}, {"quarantined", quarantined}};
}

}  // namespace tanagerloom
