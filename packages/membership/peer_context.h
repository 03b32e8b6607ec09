// Defines PeerContext, what the parts of PeerService share.
#ifndef MEMBERSHIP_PEER_CONTEXT_H_
#define MEMBERSHIP_PEER_CONTEXT_H_

#include <cstdint>
#include <string>

#include "config/settings.h"
#include "membership/envelope.h"
#include "membership/member_table.h"
#include "membership/peer_authenticator.h"
#include "membership/peer_counters.h"
#include "runtime/clock.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class EventLog;

/// This node as its peers know it.
struct PeerIdentity {
  std::string node;
  std::string incarnation;
  std::string full;  ///< "NODE/INCARNATION".
};

/// State and services that the parts of PeerService share.
struct PeerContext {
  PeerContext(boost::asio::io_context& io,
              Clock& clock,
              EventLog& events,
              const Settings& settings);

  /// An envelope of this node for the other end of a connection.
  Envelope NewEnvelope(EnvelopeBody body);

  /// A part of the peer timeout, from which all other times derive.
  Duration PartOfTimeout(double part) const;

  boost::asio::io_context& io;
  Clock& clock;
  EventLog& events;
  const Settings settings;
  const Duration peer_timeout;
  const PeerAuthenticator authenticator;
  const PeerIdentity identity;
  PeerCounters counters;
  MemberTable members;
  bool stopping = false;
};

/// Whole milliseconds, for events and status.
std::int64_t ToMillis(Duration duration);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_CONTEXT_H_
