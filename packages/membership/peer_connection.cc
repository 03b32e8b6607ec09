#include "membership/peer_connection.h"

#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <mutex>

#include "base/event_log.h"
#include "membership/peer_context.h"
#include "runtime/await.h"

namespace tanagerloom {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;

template <typename Body>
Result<Body> Expect(Envelope&& envelope, std::string_view name) {
  auto* body = std::get_if<Body>(&envelope.body);
  if (body == nullptr) {
    return MakeError(
        ErrorKind::kInvalid,
        "unexpected handshake message; expected " + std::string(name));
  }
  return std::move(*body);
}

}  // namespace

std::string_view CloseCauseName(CloseCause cause) {
  switch (cause) {
    case CloseCause::kClosedByPeer:
      return "closed_by_peer";
    case CloseCause::kConnectFailed:
      return "connect_failed";
    case CloseCause::kSilent:
      return "silent";
    case CloseCause::kMalformed:
      return "malformed";
    case CloseCause::kUnauthenticated:
      return "unauthenticated";
    case CloseCause::kStale:
      return "stale";
    case CloseCause::kIdle:
      return "idle";
    case CloseCause::kDuplicate:
      return "duplicate";
    case CloseCause::kStopped:
      return "stopped";
  }
  return "unknown";
}

PeerConnection::PeerConnection(PeerContext& context,
                               PeerConnectionDelegate& delegate)
    : context_(context),
      delegate_(delegate),
      socket_(context.io),
      created_at_(context.clock.Now()),
      last_received_at_(created_at_),
      last_sent_at_(created_at_),
      last_used_at_(created_at_) {
  reader_.set_max_frame_bytes(kMaxHandshakeFrameBytes);
}

void PeerConnection::RunOpened(const std::string& node,
                               const Address& address,
                               bool mesh) {
  opened_locally_ = true;
  mesh_ = mesh;
  peer_ = node;
  remote_ = address.ToString();
  const auto outcome = Connect(address);
  if (!outcome) {
    Close(CloseCause::kConnectFailed, outcome.assume_error().message);
    delegate_.OnClosed(*this);
    return;
  }
  Serve(HandshakeOpened(node));
}

void PeerConnection::RunAccepted(asio::ip::tcp::socket socket) {
  socket_ = std::move(socket);
  boost::system::error_code ec;
  const auto endpoint = socket_.remote_endpoint(ec);
  if (!ec) {
    remote_ =
        endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
  }
  SetSocketOptions();
  Serve(HandshakeAccepted());
}

void PeerConnection::SetSocketOptions() {
  boost::system::error_code ec;
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
}

Result<void> PeerConnection::Connect(const Address& address) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (ec) {
    return MakeError(ErrorKind::kInvalid, "invalid IP address " + address.ip);
  }
  if (closed_) {
    // Close was called before this fiber ran, so that nothing would end the
    // attempt to connect.
    return MakeError(ErrorKind::kCancelled, "closed");
  }
  const asio::ip::tcp::endpoint remote(ip, address.port);
  const auto result =
      AwaitIo([&](auto done) { socket_.async_connect(remote, done); });
  if (result.ec || closed_) {
    return MakeError(ErrorKind::kUnavailable, result.ec.message());
  }
  SetSocketOptions();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

HandshakeTranscript PeerConnection::Transcript(
    const std::string& own_challenge,
    const std::string& peer_challenge) const {
  if (opened_locally_) {
    return {context_.identity.full_id, PeerFullId(), own_challenge,
            peer_challenge};
  }
  return {PeerFullId(), context_.identity.full_id, peer_challenge,
          own_challenge};
}

Result<void> PeerConnection::HandshakeOpened(const std::string& node) {
  const std::string own = PeerAuthenticator::NewChallenge();
  BOOST_OUTCOME_TRYV(WriteHandshake(Hello{own, mesh_}));
  BOOST_OUTCOME_TRY(reply, ReadHandshake());
  if (reply.sender != node) {
    return MakeError(
        ErrorKind::kInvalid,
        "node " + reply.sender + " replied at the address of " + node);
  }
  peer_incarnation_ = reply.incarnation;
  BOOST_OUTCOME_TRY(challenge,
                    Expect<Challenge>(std::move(reply), "challenge"));
  const auto transcript = Transcript(own, challenge.challenge);
  BOOST_OUTCOME_TRYV(WriteHandshake(
      Proof{context_.authenticator.Prove(PeerEnd::kOpener, transcript)}));
  BOOST_OUTCOME_TRY(last, ReadHandshake());
  BOOST_OUTCOME_TRY(proof, Expect<Proof>(std::move(last), "proof"));
  if (!context_.authenticator.Verify(PeerEnd::kAccepter, transcript,
                                     proof.mac)) {
    return MakeError(ErrorKind::kInvalid, "the accepter's proof is wrong");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<void> PeerConnection::HandshakeAccepted() {
  BOOST_OUTCOME_TRY(first, ReadHandshake());
  peer_ = first.sender;
  peer_incarnation_ = first.incarnation;
  BOOST_OUTCOME_TRY(hello, Expect<Hello>(std::move(first), "hello"));
  mesh_ = hello.mesh;
  const std::string own = PeerAuthenticator::NewChallenge();
  BOOST_OUTCOME_TRYV(WriteHandshake(Challenge{own}));
  const auto transcript = Transcript(own, hello.challenge);
  BOOST_OUTCOME_TRY(second, ReadHandshake());
  BOOST_OUTCOME_TRY(proof, Expect<Proof>(std::move(second), "proof"));
  if (!context_.authenticator.Verify(PeerEnd::kOpener, transcript, proof.mac)) {
    return MakeError(ErrorKind::kInvalid, "the opener's proof is wrong");
  }
  // The accepter sends its proof last, so that an opener without a key receives
  // nothing that was computed from a key.
  return WriteHandshake(
      Proof{context_.authenticator.Prove(PeerEnd::kAccepter, transcript)});
}

Result<void> PeerConnection::WriteHandshake(EnvelopeBody body) {
  Envelope envelope;
  envelope.time = context_.events.clock().Now();
  envelope.sender = context_.identity.node;
  envelope.incarnation = context_.identity.incarnation;
  envelope.body = std::move(body);
  if (!WriteAll(MakeFrame(EncodeEnvelope(envelope)))) {
    return MakeError(ErrorKind::kUnavailable,
                     "connection ended during the handshake");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<Envelope> PeerConnection::ReadHandshake() {
  BOOST_OUTCOME_TRY(payload, ReadFrame());
  return DecodeEnvelope(payload);
}

Result<std::string> PeerConnection::ReadFrame() {
  std::string payload;
  char chunk[kReadChunkBytes];
  while (true) {
    BOOST_OUTCOME_TRY(complete, reader_.Next(payload));
    if (complete) {
      ++context_.counters.messages_received;
      return payload;
    }
    const auto result = AwaitIo([&](auto done) {
      socket_.async_read_some(asio::buffer(chunk, sizeof(chunk)), done);
    });
    if (result.ec || closed_) {
      if (reader_.pending() > 0 && !closed_) {
        return MakeError(ErrorKind::kInvalid,
                         "connection ended inside a frame, after " +
                             std::to_string(reader_.pending()) + " bytes");
      }
      return MakeError(ErrorKind::kUnavailable, result.ec.message());
    }
    context_.counters.bytes_received += result.bytes_transferred;
    // Any received bytes count as progress, so that a large frame on a slow
    // path is not taken for silence. The handshake has its own timeout.
    last_received_at_ = context_.clock.Now();
    unanswered_since_.reset();
    reader_.Append({chunk, result.bytes_transferred});
  }
}

void PeerConnection::Serve(Result<void> handshake) {
  if (!handshake) {
    const auto& error = handshake.assume_error();
    if (error.kind == ErrorKind::kInvalid) {
      Close(CloseCause::kUnauthenticated, error.message);
    } else {
      Close(CloseCause::kClosedByPeer, error.message);
    }
    delegate_.OnClosed(*this);
    return;
  }
  authenticated_ = !closed_;
  authenticated_at_ = context_.clock.Now();
  reader_.set_max_frame_bytes(kMaxFrameBytes);
  if (authenticated_) {
    if (delegate_.OnAuthenticated(*this)) {
      writer_finished_ = false;
      boost::fibers::fiber([self = shared_from_this()] {
        self->WriteLoop();
      }).detach();
      ReadLoop();
    } else {
      Close(CloseCause::kStale);
    }
  }
  Close(CloseCause::kClosedByPeer);
  {
    std::unique_lock lock(mutex_);
    wake_writer_.wait(lock, [&] { return writer_finished_; });
  }
  delegate_.OnClosed(*this);
}

void PeerConnection::ReadLoop() {
  while (!closed_) {
    auto payload = ReadFrame();
    if (!payload) {
      const auto& error = payload.assume_error();
      Close(error.kind == ErrorKind::kInvalid ? CloseCause::kMalformed
                                              : CloseCause::kClosedByPeer,
            error.message);
      return;
    }
    const auto envelope = DecodeEnvelope(payload.assume_value());
    if (!envelope) {
      Close(CloseCause::kMalformed, envelope.assume_error().message);
      return;
    }
    if (std::holds_alternative<PeerMessage>(envelope.assume_value().body)) {
      last_used_at_ = last_received_at_;
      needs_reply_ = true;
    }
    delegate_.OnEnvelope(*this, envelope.assume_value(),
                         payload.assume_value());
  }
}

void PeerConnection::WriteLoop() {
  while (!closed_) {
    {
      std::unique_lock lock(mutex_);
      wake_writer_.wait(lock, [&] { return closed_ || !queue_.empty(); });
    }
    const auto frame = closed_ ? nullptr : queue_.Pop();
    if (frame == nullptr || !WriteAll(*frame)) {
      break;
    }
  }
  Close(CloseCause::kClosedByPeer);
  writer_finished_ = true;
  wake_writer_.notify_all();
}

bool PeerConnection::WriteAll(const std::string& frame) {
  std::size_t sent = 0;
  while (sent < frame.size() && !closed_) {
    write_blocked_since_ = context_.clock.Now();
    const auto result = AwaitIo([&](auto done) {
      socket_.async_write_some(
          asio::buffer(frame.data() + sent, frame.size() - sent), done);
    });
    write_blocked_since_.reset();
    if (result.ec) {
      return false;
    }
    sent += result.bytes_transferred;
    context_.counters.bytes_sent += result.bytes_transferred;
  }
  ++context_.counters.messages_sent;
  last_sent_at_ = context_.clock.Now();
  needs_reply_ = false;
  return sent == frame.size();
}

void PeerConnection::Send(OutboundMessage message) {
  if (closed_) {
    return;
  }
  if (message.control) {
    context_.counters.control_bytes_sent += message.frame->size();
  } else {
    last_used_at_ = context_.clock.Now();
    if (!unanswered_since_) {
      unanswered_since_ = last_used_at_;
    }
  }
  const auto replaced = queue_.replaced();
  context_.counters.messages_dropped += queue_.Push(std::move(message));
  context_.counters.messages_replaced += queue_.replaced() - replaced;
  wake_writer_.notify_all();
}

void PeerConnection::SendAll(OutboundQueue& queue) {
  if (closed_ || queue.empty()) {
    return;
  }
  queue_.TakeAll(queue);
  last_used_at_ = context_.clock.Now();
  if (!unanswered_since_) {
    unanswered_since_ = last_used_at_;
  }
  wake_writer_.notify_all();
}

void PeerConnection::Close(CloseCause cause, std::string detail) {
  if (closed_) {
    return;
  }
  closed_ = true;
  cause_ = cause;
  detail_ = std::move(detail);
  boost::system::error_code ec;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  socket_.close(ec);
  wake_writer_.notify_all();
}

void PeerConnection::AdjustForPause(Duration gap) {
  last_received_at_ += gap;
  if (unanswered_since_) {
    *unanswered_since_ += gap;
  }
  if (write_blocked_since_) {
    *write_blocked_since_ += gap;
  }
}

}  // namespace tanagerloom
