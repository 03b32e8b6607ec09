// Defines PeerCounters, the counters of the traffic between nodes, which
// metrics and tests read.
#ifndef MEMBERSHIP_PEER_COUNTERS_H_
#define MEMBERSHIP_PEER_COUNTERS_H_

#include <cstdint>

namespace tanagerloom {

/// Counts bytes and messages on all connections of a node since its start.
/// Bytes include frame headers and exclude TCP headers.
struct PeerCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  /// Bytes of keep-alives, digests and other control messages, which bytes_sent
  /// includes.
  std::uint64_t control_bytes_sent = 0;
  std::uint64_t frames_refused = 0;  ///< Invalid, from authenticated peers.
  std::uint64_t handshakes_refused = 0;
  std::uint64_t messages_dropped = 0;    ///< Dropped because a queue was full.
  std::uint64_t messages_replaced = 0;   ///< Replaced by newer queued ones.
  std::uint64_t stale_ignored = 0;       ///< Messages of replaced incarnations.
  std::uint64_t duplicates_ignored = 0;  ///< Floods received before.
  std::uint64_t silent_connections = 0;  ///< Closed because they were silent.
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_COUNTERS_H_
