// Defines Envelope, one message of the peer protocol in decoded form, and its
// conversion to and from the FlatBuffers encoding.
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

/// Opens a connection; the envelope names the node.
struct Hello {
  std::string challenge;
  bool mesh = false;  ///< Floods use this connection.
};

/// Reply to Hello; the envelope names the replying node.
struct Challenge {
  std::string challenge;
};

/// Proves knowledge of a key to the end that sent the challenge.
struct Proof {
  std::string mac;
};

/// State of the sending node itself.
struct Heartbeat {
  std::uint64_t config_version = 0;
};

/// What a node reports about itself and its links.
struct LinkState {
  std::string node;
  std::string incarnation;
  std::uint64_t version = 0;  ///< Rises by one with each change.
  bool full = false;          ///< `added` lists all links.
  bool leaving = false;       ///< Takes no new work.
  bool gone = false;          ///< The process ends.
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

/// Link states that changed, or all of them after a request.
struct Digest {
  std::vector<LinkState> entries;
};

/// Asks for the link states of all nodes.
struct DigestRequest {};

/// The body of an envelope; std::monostate is a keep-alive.
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
  std::string sender;  ///< Empty: the other end of the connection.
  std::string incarnation;
  std::uint64_t flood_number = 0;  ///< 0 if it is not forwarded.
  EnvelopeBody body;
};

/// The FlatBuffers encoding, without a frame's length field.
std::string EncodeEnvelope(const Envelope& envelope);

/// Verifies and decodes an envelope; kInvalid if it is malformed, if a required
/// field is absent or if a value is out of range.
Result<Envelope> DecodeEnvelope(std::string_view payload);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_ENVELOPE_H_
