// Defines PeerConnection, one TCP connection to another node: handshake, frames
// in both directions and the signs by which a silent connection is found.
#ifndef MEMBERSHIP_PEER_CONNECTION_H_
#define MEMBERSHIP_PEER_CONNECTION_H_

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <memory>
#include <optional>
#include <string>

#include "base/address.h"
#include "base/error.h"
#include "membership/envelope.h"
#include "membership/outbound_queue.h"
#include "membership/peer_authenticator.h"
#include "runtime/clock.h"
#include "wire/frame.h"

namespace tanagerloom {

class PeerConnection;
struct PeerContext;

/// Why a connection ended.
enum class CloseCause {
  kClosedByPeer,     ///< End of stream or reset.
  kConnectFailed,    ///< Refused or not routable.
  kSilent,           ///< No progress within the timeout.
  kMalformed,        ///< A frame was refused.
  kUnauthenticated,  ///< The handshake failed.
  kStale,            ///< The other end is a replaced incarnation.
  kIdle,             ///< Opened on demand and no longer used.
  kDuplicate,        ///< Another connection serves the same peer.
  kStopped,          ///< This node stops.
};

/// The name used in events, such as "silent".
std::string_view CloseCauseName(CloseCause cause);

/// Receives what happens on connections.
class PeerConnectionOwner {
 public:
  virtual ~PeerConnectionOwner() = default;

  /// The other end proved its identity. Returns false to refuse it.
  virtual bool OnAuthenticated(PeerConnection& connection) = 0;
  /// A frame arrived after the handshake. `payload` is its encoding.
  virtual void OnEnvelope(PeerConnection& connection,
                          const Envelope& envelope,
                          const std::string& payload) = 0;
  /// The connection ended; called once, also for a failed handshake.
  virtual void OnClosed(PeerConnection& connection) = 0;
};

/// One connection. Its reading fiber calls RunOpened or RunAccepted, which
/// return when the connection has ended; a second fiber writes.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(PeerContext& context, PeerConnectionOwner& owner);
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Opens a connection to `node` and serves it.
  void RunOpened(const std::string& node, const Address& address, bool mesh);
  /// Serves an accepted connection.
  void RunAccepted(boost::asio::ip::tcp::socket socket);

  /// Queues a message; it is sent when the handshake is done.
  void Send(OutboundMessage message);
  /// Moves the messages of `queue` here.
  void SendAll(OutboundQueue& queue);

  /// Ends the connection; its fibers end soon after.
  void Close(CloseCause cause, std::string detail = {});

  bool opened_here() const { return opened_here_; }
  bool mesh() const { return mesh_; }
  bool authenticated() const { return authenticated_; }
  bool closed() const { return closed_; }
  CloseCause cause() const { return cause_; }
  /// What was wrong, for the event; never contains secrets.
  const std::string& detail() const { return detail_; }
  /// The other end; before authentication, the node that is being opened.
  const std::string& peer() const { return peer_; }
  const std::string& peer_incarnation() const { return peer_incarnation_; }
  const std::string& remote() const { return remote_; }

  TimePoint created() const { return created_; }
  TimePoint authenticated_at() const { return authenticated_at_; }
  TimePoint last_received() const { return last_received_; }
  TimePoint last_sent() const { return last_sent_; }
  /// When a message was sent, or received, that is not control traffic.
  TimePoint last_used() const { return last_used_; }
  /// Since when a sent message has been followed by no received frame.
  std::optional<TimePoint> unanswered_since() const {
    return unanswered_since_;
  }
  /// Whether a message was received since the last frame was sent.
  bool owes_reply() const { return owes_reply_; }
  /// Since when a write has made no progress.
  std::optional<TimePoint> write_blocked_since() const {
    return write_blocked_since_;
  }
  bool Drained() const { return queue_.empty() && !write_blocked_since_; }
  const OutboundQueue& queue() const { return queue_; }

  /// Moves the times of the last signs of life forward by `gap`, during which
  /// this process was paused and could not receive.
  void ForgivePause(Duration gap);

 private:
  Result<void> Connect(const Address& address);
  Result<void> HandshakeOpened(const std::string& node);
  Result<void> HandshakeAccepted();
  Result<void> WriteHandshake(EnvelopeBody body);
  Result<Envelope> ReadHandshake();
  Result<std::string> ReadFrame();
  void Serve(Result<void> handshake);
  void ReadLoop();
  void WriteLoop();
  bool WriteAll(const std::string& frame);
  HandshakeTranscript Transcript(const std::string& own_challenge,
                                 const std::string& peer_challenge) const;
  std::string PeerFull() const { return peer_ + "/" + peer_incarnation_; }
  void SetSocketOptions();

  PeerContext& context_;
  PeerConnectionOwner& owner_;
  boost::asio::ip::tcp::socket socket_;
  FrameReader reader_;
  OutboundQueue queue_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable wake_writer_;
  bool opened_here_ = false;
  bool mesh_ = false;
  bool authenticated_ = false;
  bool closed_ = false;
  bool writer_ended_ = true;
  bool owes_reply_ = false;
  CloseCause cause_ = CloseCause::kClosedByPeer;
  std::string detail_;
  std::string peer_;
  std::string peer_incarnation_;
  std::string remote_;
  TimePoint created_;
  TimePoint authenticated_at_{};
  TimePoint last_received_;
  TimePoint last_sent_;
  TimePoint last_used_;
  std::optional<TimePoint> unanswered_since_;
  std::optional<TimePoint> write_blocked_since_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_CONNECTION_H_
