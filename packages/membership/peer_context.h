// Defines PeerContext, the state that the components of PeerService share.
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

/// The identity of this node in the peer protocol.
struct PeerIdentity {
  std::string node;
  std::string incarnation;
  std::string full_id;  ///< "NODE/INCARNATION".
};

/// State and services that the components of PeerService share.
struct PeerContext {
  PeerContext(boost::asio::io_context& io,
              Clock& clock,
              EventLog& events,
              const Settings& settings);

  /// Returns an envelope with the current time, from this node to the peer of a
  /// connection.
  Envelope NewEnvelope(EnvelopeBody body);

  /// Returns the peer timeout times `fraction`, which may be above 1. All other
  /// durations derive from the peer timeout.
  Duration FractionOfTimeout(double fraction) const;

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

/// Returns whole milliseconds, for events and the status.
std::int64_t ToMillis(Duration duration);

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_CONTEXT_H_
