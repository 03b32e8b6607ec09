// Defines Envelope, a decoded message of the peer protocol, and its conversion
// to and from the FlatBuffers encoding.
#ifndef MEMBERSHIP_ENVELOPE_H_
#define MEMBERSHIP_ENVELOPE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/hybrid_clock.h"
#include "ports/peer_message.h"

namespace tanagerloom {

/// First message of the opener of a connection. The envelope names the node.
struct Hello {
  std::string challenge;  ///< Random bytes that the reply must prove a key for.
  bool mesh = false;      ///< Floods use this connection.
};

/// Reply of the accepter to Hello. The envelope names the accepting node.
struct Challenge {
  std::string challenge;
};

/// Proves to the sender of a challenge that this end knows a key.
struct Proof {
  std::string mac;
};

/// State of the sending node, sent over direct links.
struct Heartbeat {
  std::uint64_t config_version = 0;  ///< Configuration version in force.
};

/// A node's report of itself and its links.
struct LinkState {
  std::string node;
  std::string incarnation;
  std::uint64_t version = 0;  ///< Rises by one with each report.
  bool full = false;          ///< `added` lists all links of the node.
  bool leaving = false;       ///< The node drains.
  bool gone = false;          ///< The process is about to end.
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Link states of nodes: the changed ones, or all after a DigestRequest.
struct Digest {
  std::vector<LinkState> entries;
};

/// Requests the link states of all nodes.
struct DigestRequest {};

/// The body of an envelope. std::monostate is a keep-alive.
using EnvelopeBody = std::variant<std::monostate,
                                  Hello,
                                  Challenge,
                                  Proof,
                                  Heartbeat,
                                  Digest,
                                  DigestRequest,
                                  PeerMessage>;

/// One message of the peer protocol.
struct Envelope {
  HybridTime time;
  /// Id of the sending node. If empty, the peer of the connection is the
  /// sender.
  std::string sender;
  std::string incarnation;
  /// Number of the flood among those of its sender; 0 if it is not a flood.
  std::uint64_t flood_number = 0;
  EnvelopeBody body;
};

/// Returns the FlatBuffers encoding of `envelope`, without a frame header.
std::string EncodeEnvelope(const Envelope& envelope);

/// Verifies and decodes an envelope. Fails with kInvalid if it is malformed, if
/// its body is absent or if a value is out of range.
Result<Envelope> DecodeEnvelope(std::string_view payload);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_ENVELOPE_H_
