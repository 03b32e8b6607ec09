// Defines PeerCounters, from which metrics and tests read the traffic of a
// node.
#ifndef MEMBERSHIP_PEER_COUNTERS_H_
#define MEMBERSHIP_PEER_COUNTERS_H_

#include <cstdint>

namespace tanagerloom {

/// Bytes and messages through all connections of a node since its start, with
/// the length fields of frames and without TCP headers.
struct PeerCounters {
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t control_bytes_sent = 0;  ///< Keep-alives, digests; part of all.
  std::uint64_t frames_refused = 0;      ///< Of authenticated peers.
  std::uint64_t handshakes_refused = 0;
  std::uint64_t messages_dropped = 0;   ///< Queues of slow peers were full.
  std::uint64_t messages_replaced = 0;  ///< Queued state replaced by newer.
  std::uint64_t stale_ignored = 0;      ///< From replaced incarnations.
  std::uint64_t repeats_ignored = 0;    ///< Floods that had arrived already.
  std::uint64_t silent_connections = 0;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_COUNTERS_H_
