#include "membership/peer_context.h"

#include <cstdio>
#include <utility>

#include "base/event_log.h"
#include "base/id.h"

namespace tanagerloom {

namespace {

// Makes the identity of this process. The incarnation starts with the wall
// clock in milliseconds, so that a later start compares as greater.
PeerIdentity NewIdentity(const std::string& node, const Clock& clock) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%012llx",
                static_cast<unsigned long long>(clock.WallNow().count()));
  const std::string incarnation = buf + NewId("-").substr(0, 9);
  return {node, incarnation, node + "/" + incarnation};
}

}  // namespace

PeerContext::PeerContext(boost::asio::io_context& io,
                         Clock& clock,
                         EventLog& events,
                         const Settings& settings)
    : io(io),
      clock(clock),
      events(events),
      settings(settings),
      peer_timeout(settings.peer_timeout),
      authenticator(settings.peer_keys),
      identity(NewIdentity(settings.node_id, clock)),
      members(identity.node,
              identity.incarnation,
              {settings.peer_timeout, settings.sender_gone_timeout}) {}

Envelope PeerContext::NewEnvelope(EnvelopeBody body) {
  Envelope envelope;
  envelope.time = events.clock().Now();
  envelope.body = std::move(body);
  return envelope;
}

Duration PeerContext::FractionOfTimeout(double fraction) const {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(peer_timeout.count()) * fraction));
}

std::int64_t ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace tanagerloom
