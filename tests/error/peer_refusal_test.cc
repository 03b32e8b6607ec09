// Tests of a node whose peers send malformed data. Guards against crashes,
// against malformed data that is taken for a message, and against peers without
// a key that pass the handshake.
#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <boost/asio/read.hpp>
#include <cmath>

#include "base/events.h"
#include "membership/envelope.h"
#include "membership/peer_authenticator.h"
#include "membership/peer_counters.h"
#include "tests/support/peer_site.h"
#include "wire/frame.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr char kKey[] = "first test key of the site";

// A connection to a peer port that sends any bytes.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : socket_(Runtime::Get().io()) {
    AwaitIo([&](auto done) {
      socket_.async_connect({boost::asio::ip::make_address("127.0.0.1"), port},
                            done);
    });
  }

  void Send(const std::string& bytes) {
    AwaitIo([&](auto done) {
      boost::asio::async_write(socket_, boost::asio::buffer(bytes), done);
    });
  }

  /// Returns the next envelope, or nothing when the node closed the connection.
  std::optional<Envelope> Read() {
    std::string payload;
    while (!reader_.Next(payload).value()) {
      char buf[4096];
      const auto result = AwaitIo([&](auto done) {
        socket_.async_read_some(boost::asio::buffer(buf), done);
      });
      if (result.ec) {
        return std::nullopt;
      }
      reader_.Append({buf, result.bytes_transferred});
    }
    return DecodeEnvelope(payload).value();
  }

  /// Discards envelopes until the node closes the connection; returns true.
  bool ReadsUntilClosed() {
    while (Read()) {
    }
    return true;
  }

  /// Returns the frame of an envelope with this body.
  static std::string Frame(EnvelopeBody body) {
    Envelope envelope;
    envelope.sender = "raw";
    envelope.incarnation = "1";
    envelope.body = std::move(body);
    return MakeFrame(EncodeEnvelope(envelope));
  }

  /// Sends hello and proof with `key` and returns the answer, or nothing if the
  /// node closes the connection. Keeps both frames for a replay.
  std::optional<Envelope> Authenticate(const std::string& key) {
    const std::string own_challenge = PeerAuthenticator::NewChallenge();
    hello = Frame(Hello{own_challenge, true});
    Send(hello);
    const auto reply = Read();
    if (!reply) {
      return std::nullopt;
    }
    transcript = {"raw/1", reply->sender + "/" + reply->incarnation,
                  own_challenge, std::get<Challenge>(reply->body).challenge};
    proof = Frame(
        Proof{PeerAuthenticator({key}).Prove(PeerEnd::kOpener, transcript)});
    Send(proof);
    return Read();
  }

  std::string hello;
  std::string proof;
  HandshakeTranscript transcript;

 private:
  boost::asio::ip::tcp::socket socket_;
  FrameReader reader_;
};

class PeerRefusal : public testing::Test {
 protected:
  PeerRefusal() { site_.settings.peer_keys = {kKey, "second key"}; }

  void SetUp() override {
    node_ = &site_.Start("n00");
    port_ = site_.vms.at("n00").peer_port;
  }

  /// Sends `bytes` over a new connection, waits until the node closes it and
  /// returns the number of handshakes that the node refused so far.
  std::uint64_t HandshakesRefusedAfter(const std::string& bytes) {
    RawPeer peer(port_);
    peer.Send(bytes);
    EXPECT_TRUE(peer.ReadsUntilClosed());
    return node_->service.counters().handshakes_refused;
  }

  PeerSite site_;
  SiteNode* node_ = nullptr;
  std::uint16_t port_ = 0;
};

// Guards against malformed frames and envelopes that the handshake accepts or
// does not count.
TEST_F(PeerRefusal, MalformedHandshakesAreRefusedAndCounted) {
  EXPECT_EQ(HandshakesRefusedAfter(std::string(4, '\xff')), 1U);
  EXPECT_EQ(HandshakesRefusedAfter(std::string(4, '\0')), 2U);
  EXPECT_EQ(HandshakesRefusedAfter(MakeFrame(std::string(64, 'x'))), 3U);
  // This frame length is allowed only after the handshake.
  EXPECT_EQ(
      HandshakesRefusedAfter(MakeFrame(std::string(8192, 'x')).substr(0, 4)),
      4U);
  EXPECT_EQ(HandshakesRefusedAfter(RawPeer::Frame(Proof{"early"})), 5U);
  EXPECT_EQ(HandshakesRefusedAfter(RawPeer::Frame(Hello{"short", true}) +
                                   RawPeer::Frame(Proof{std::string(32, 'm')})),
            6U);
  EXPECT_GE(node_->Count(events::kPeerRefused), 1);
  {
    RawPeer truncated(port_);
    truncated.Send(RawPeer::Frame(Hello{}).substr(0, 10));
  }
  EXPECT_TRUE(PeerSite::WaitUntil(
      [&] { return node_->service.counters().handshakes_refused == 7; }));
}

// Guards against a client that connects, sends nothing and keeps its
// connection.
TEST_F(PeerRefusal, SilentHandshakeTimesOut) {
  RawPeer peer(port_);
  EXPECT_TRUE(peer.ReadsUntilClosed());
  EXPECT_TRUE(node_->service.Status().at("links").empty());
}

// Guards against refusing nodes during a change of keys, when several are
// configured, and against accepting any other key.
TEST_F(PeerRefusal, OnlyConfiguredKeysAreAccepted) {
  for (const std::string key : {kKey, "second key"}) {
    RawPeer peer(port_);
    const auto reply = peer.Authenticate(key);
    ASSERT_TRUE(reply.has_value());
    // The node proves its identity with its first key.
    EXPECT_TRUE(PeerAuthenticator({kKey}).Verify(
        PeerEnd::kAccepter, peer.transcript, std::get<Proof>(reply->body).mac));
  }
  RawPeer unknown_peer(port_);
  EXPECT_FALSE(unknown_peer.Authenticate("third key").has_value());
}

// Guards against a replayed handshake that is accepted on a second connection,
// and against a node's own proof that is accepted when it is sent back.
TEST_F(PeerRefusal, ReplayedAndReflectedProofsAreRefused) {
  RawPeer recorded(port_);
  ASSERT_TRUE(recorded.Authenticate(kKey).has_value());
  EXPECT_EQ(HandshakesRefusedAfter(recorded.hello + recorded.proof), 1U);
  const PeerAuthenticator keys({kKey});
  const auto mac = keys.Prove(PeerEnd::kAccepter, recorded.transcript);
  EXPECT_FALSE(keys.Verify(PeerEnd::kOpener, recorded.transcript, mac));
}

// Guards against a connection that stays open after a malformed frame: the
// frames after it would be read at a wrong offset.
TEST_F(PeerRefusal, MalformedFrameEndsAnAuthenticatedConnection) {
  const std::string malformed[] = {MakeFrame("not an envelope"),
                                   std::string("\x01\x00\x10\x00", 4),
                                   RawPeer::Frame(Hello{"late", true})};
  std::uint64_t refused = 0;
  for (const auto& it : malformed) {
    RawPeer peer(port_);
    ASSERT_TRUE(peer.Authenticate(kKey).has_value());
    peer.Send(it);
    EXPECT_TRUE(peer.ReadsUntilClosed());
    EXPECT_EQ(node_->service.counters().frames_refused, ++refused);
  }
  EXPECT_GE(node_->Count(events::kFrameRefused), 1);
}

// Guards against unbounded memory for messages to a peer that reads nothing.
TEST_F(PeerRefusal, QueueForAPeerThatReadsNothingIsBounded) {
  site_.settings.peer_timeout = 60s;
  auto& node = site_.Start("n01");
  RawPeer peer(site_.vms.at("n01").peer_port);
  ASSERT_TRUE(peer.Authenticate(kKey).has_value());
  const std::string record(900 * 1024, 'r');
  std::uint64_t max_queued_bytes = 0;
  for (int i = 0; i < 60; ++i) {
    node.service.Broadcast(RecordUpdate{"c" + std::to_string(i), 1, record});
    const auto status = node.service.Status();
    for (const auto& it : status.at("links")) {
      max_queued_bytes = std::max(max_queued_bytes,
                                  it.at("queued_bytes").get<std::uint64_t>());
    }
    boost::this_fiber::yield();
  }
  EXPECT_GT(max_queued_bytes, 0U);
  EXPECT_LE(max_queued_bytes, OutboundQueue::kMaxBytes);
  EXPECT_GT(node.service.counters().messages_dropped, 0U);
  EXPECT_EQ(node.Count(events::kMessagesDropped), 1);
}

std::string RandomText() {
  return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

PeerMessage RandomMessage() {
  const auto number = *rc::gen::arbitrary<std::uint32_t>();
  const std::string text = RandomText();
  const auto units = static_cast<float>(number);
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
      return Demand{
          text, number, {{text, "1", RandomText(), number, 2, 3, 4, 5}}};
    case 1:
      return DemandAck{text, number};
    case 2:
      return RecordUpdate{text, number, RandomText()};
    case 3:
      return ConfigUpdate{number, 7, text};
    case 4:
      return EndpointNotice{text, static_cast<EndpointCondition>(number % 5),
                            number};
    case 5:
      return EndpointUse{{text, "b"}, {number, 2}, {3, 4}};
    case 6:
      return CrashNotice{number, 2, 3, true, {{number, 4}, {5, 6}}};
    case 7:
      return QuotaReport{number, 2, true, 3, {{4, units, 5, 6, 7, 8}}};
    case 8:
      return QuotaGrant{number, 2, true, {{3, units, 4}}};
    default:
      return OrderDone{text, RandomText(), "order"};
  }
}

Envelope RandomEnvelope() {
  Envelope envelope;
  envelope.time = {*rc::gen::arbitrary<std::uint32_t>(), 3};
  envelope.sender = RandomText();
  envelope.incarnation = RandomText();
  envelope.flood_number = *rc::gen::arbitrary<std::uint32_t>();
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      envelope.body = Digest{
          {{RandomText(), "i", 5, true, false, true, {RandomText()}, {}}}};
      break;
    case 1:
      envelope.body = Hello{RandomText(), true};
      break;
    default:
      envelope.body = RandomMessage();
  }
  return envelope;
}

// Guards against a field that the encoding loses or swaps with another.
TEST(PeerEncoding, EnvelopeSurvivesARoundTrip) {
  EXPECT_TRUE(rc::check([] {
    const auto payload = EncodeEnvelope(RandomEnvelope());
    const auto decoded = DecodeEnvelope(payload);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(EncodeEnvelope(decoded.value()) == payload);
  }));
}

// Guards against an amount from a peer that would make all sums unusable.
TEST(PeerEncoding, AmountThatIsNoNumberIsInvalid) {
  for (const float it : {-1.0F, std::nanf(""), HUGE_VALF}) {
    Envelope envelope;
    envelope.body = PeerMessage(QuotaReport{1, 2, true, 3, {{4, it}}});
    EXPECT_FALSE(DecodeEnvelope(EncodeEnvelope(envelope)).has_value());
    envelope.body = PeerMessage(QuotaGrant{1, 2, true, {{3, it, 4}}});
    EXPECT_FALSE(DecodeEnvelope(EncodeEnvelope(envelope)).has_value());
  }
}

// Guards against reads beyond the end of a mutated or truncated envelope.
TEST(PeerEncoding, MutatedEnvelopeIsDecodedOrInvalid) {
  EXPECT_TRUE(rc::check([] {
    auto payload = EncodeEnvelope(RandomEnvelope());
    for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, payload.size());
      payload[at] = *rc::gen::arbitrary<char>();
    }
    payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size() + 1));
    const auto decoded = DecodeEnvelope(payload);
    if (decoded) {
      RC_ASSERT(!EncodeEnvelope(decoded.value()).empty());
    } else {
      RC_ASSERT(decoded.error().kind == ErrorKind::kInvalid);
    }
  }));
}

// Guards against frames that depend on how the stream is split into reads, and
// against a reader that goes on after an invalid length.
TEST(PeerEncoding, FramesAreReadFromAnySplit) {
  EXPECT_TRUE(rc::check([] {
    const auto frames = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
    std::string stream;
    for (const auto& it : frames) {
      stream += MakeFrame(it);
    }
    const bool malformed = *rc::gen::arbitrary<bool>();
    stream += malformed ? std::string(4, '\xff') : std::string();
    FrameReader reader;
    std::vector<std::string> out;
    bool failed = false;
    std::string payload;
    for (std::size_t at = 0; at < stream.size();) {
      const auto n =
          std::min(*rc::gen::inRange<std::size_t>(1, 20), stream.size() - at);
      reader.Append({stream.data() + at, n});
      at += n;
      auto next = reader.Next(payload);
      while (next && next.value()) {
        out.push_back(payload);
        next = reader.Next(payload);
      }
      failed = failed || !next;
    }
    RC_ASSERT(out == frames);
    RC_ASSERT(failed == malformed);
  }));
}

}  // namespace
}  // namespace tanagerloom
