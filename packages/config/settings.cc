#include "config/settings.h"

#include <algorithm>
#include <array>

#include "config/json_text.h"
#include "config/object_reader.h"

namespace tanagerloom {

namespace {

constexpr std::uint64_t kMinuteMs = 60ULL * 1000;
constexpr std::uint64_t kHourMs = 60 * kMinuteMs;
constexpr std::uint64_t kDayMs = 24 * kHourMs;
constexpr std::size_t kMinPeerKeyBytes = 8;

void ReadIdentity(ObjectReader& reader, Settings& out) {
  reader.Name("node_id", out.node_id, Presence::kRequired);
  reader.Name("data_centre", out.data_centre, Presence::kRequired);
  reader.Name("region", out.region, Presence::kOptional);
  reader.TcpAddress("caller_listen", out.client_listen, Presence::kRequired, 0);
  reader.TcpAddress("peer_listen", out.peer_listen, Presence::kRequired, 0);
  reader.TcpAddress("admin_listen", out.admin_listen, Presence::kRequired, 0);
  reader.TcpAddress("platform", out.platform_address, Presence::kRequired, 1);
  reader.Strings("peer_keys", out.peer_keys, Presence::kRequired,
                 Privacy::kSecret);
  if (std::any_of(
          out.peer_keys.begin(), out.peer_keys.end(),
          [](const auto& it) { return it.size() < kMinPeerKeyBytes; })) {
    reader.Problem("peer_keys", "each key must have at least 8 characters");
  }
  reader.Sha256("bootstrap_token_sha256", out.bootstrap_token_sha256,
                Presence::kOptional);
}

void ReadDurations(ObjectReader& reader, Settings& out) {
  reader.Milliseconds("platform_timeout_ms", out.platform_timeout, 10,
                      kMinuteMs);
  reader.Milliseconds("engine_timeout_ms", out.engine_timeout, 10, kMinuteMs);
  reader.Milliseconds("vm_list_interval_ms", out.vm_list_interval, 10,
                      kMinuteMs);
  reader.Milliseconds("heartbeat_interval_ms", out.heartbeat_interval, 10,
                      kMinuteMs);
  reader.Milliseconds("peer_timeout_ms", out.peer_timeout, 20, kMinuteMs);
  reader.Milliseconds("demand_batch_ms", out.demand_batch_interval, 1, 1000);
  reader.Milliseconds("demand_timeout_ms", out.demand_timeout, 10, kMinuteMs);
  reader.Milliseconds("order_progress_ms", out.order_progress_timeout, 10,
                      kHourMs);
  reader.Milliseconds("sender_gone_ms", out.sender_gone_timeout, 100, kHourMs);
  reader.Milliseconds("progress_timeout_ms", out.progress_timeout, 10, kHourMs);
  reader.Milliseconds("claim_retention_ms", out.claim_retention, 1000, kDayMs);
  reader.Milliseconds("quarantine_ms", out.quarantine_time, 100, kDayMs);
  reader.Milliseconds("shutdown_bound_ms", out.shutdown_timeout, 0, kDayMs);
  reader.Milliseconds("config_poll_interval_ms", out.config_poll_interval, 10,
                      kMinuteMs);
  if (out.peer_timeout <= out.heartbeat_interval) {
    reader.Problem("peer_timeout_ms",
                   "value " + std::to_string(out.peer_timeout.count()) +
                       "; allowed: more than heartbeat_interval_ms, which is " +
                       std::to_string(out.heartbeat_interval.count()));
  }
}

void ReadLimits(ObjectReader& reader, Settings& out) {
  std::uint64_t ring = out.event_ring_size;
  reader.Unsigned("event_ring_size", ring, std::uint64_t{100},
                  std::uint64_t{1000000});
  out.event_ring_size = ring;
  reader.Bool("json_logs", out.json_logs);
  reader.Unsigned("peer_links", out.peer_links, 1, 64);
  reader.Unsigned("crash_limit", out.crash_limit, 1, 100);
  reader.Unsigned("max_waiting", out.max_waiting_requests, 1, 1000000);
  reader.Unsigned("max_in_progress", out.max_in_flight, 1, 10000);
  reader.Milliseconds("fixed_keep_alive_ms", out.fixed_keep_alive, 1, kDayMs);
  reader.String("keep_alive_policy", out.keep_alive_policy,
                Presence::kOptional);
  constexpr std::array<std::string_view, 3> kPolicies = {"cost", "fixed",
                                                         "never"};
  if (std::find(kPolicies.begin(), kPolicies.end(), out.keep_alive_policy) ==
      kPolicies.end()) {
    reader.Problem("keep_alive_policy", "value " +
                                            FormatValue(out.keep_alive_policy) +
                                            "; allowed: cost, fixed, never");
  }
}

}  // namespace

SettingsOutcome ParseSettings(std::string_view text) {
  SettingsOutcome out;
  const auto value = ParseJsonText(text, out.problems);
  if (value.is_null() && !out.problems.empty()) {
    return out;
  }
  ObjectReader reader(value, "", out.problems);
  ReadIdentity(reader, out.settings);
  ReadDurations(reader, out.settings);
  ReadLimits(reader, out.settings);
  reader.Finish();
  return out;
}

}  // namespace tanagerloom
