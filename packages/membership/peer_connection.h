// Defines PeerConnection, a TCP connection to another node: handshake, frames
// in both directions and the timestamps by which silence is detected.
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
  kClosedByPeer,     ///< The stream ended or was reset.
  kConnectFailed,    ///< The peer refused or could not be reached.
  kSilent,           ///< No progress within the timeout.
  kMalformed,        ///< A frame was invalid.
  kUnauthenticated,  ///< The handshake failed.
  kStale,            ///< The peer is a replaced incarnation.
  kIdle,             ///< It was opened on demand and is not used.
  kDuplicate,        ///< Another connection serves the same peer.
  kStopped,          ///< This node stops.
};

/// Returns the name used in events, such as "silent".
std::string_view CloseCauseName(CloseCause cause);

/// Receives the events of connections.
class PeerConnectionDelegate {
 public:
  virtual ~PeerConnectionDelegate() = default;

  /// Called when the peer has proved its identity. Returns false to refuse it.
  virtual bool OnAuthenticated(PeerConnection& connection) = 0;
  /// Called when a frame arrived after the handshake. `payload` is the encoding
  /// of `envelope`.
  virtual void OnEnvelope(PeerConnection& connection,
                          const Envelope& envelope,
                          const std::string& payload) = 0;
  /// Called once when the connection has ended, also after a failed handshake.
  virtual void OnClosed(PeerConnection& connection) = 0;
};

/// One connection. The fiber that reads calls RunOpened or RunAccepted, which
/// returns when the connection has ended. A second fiber writes.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(PeerContext& context, PeerConnectionDelegate& delegate);
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  /// Opens a connection to `node` and serves it.
  void RunOpened(const std::string& node, const Address& address, bool mesh);
  /// Serves an accepted connection.
  void RunAccepted(boost::asio::ip::tcp::socket socket);

  /// Queues a message, which is sent once the handshake is done.
  void Send(OutboundMessage message);
  /// Moves the messages of `queue` to the queue of this connection.
  void SendAll(OutboundQueue& queue);

  /// Closes the connection; its fibers end soon after. `detail` says what was
  /// wrong and must not contain secrets.
  void Close(CloseCause cause, std::string detail = {});

  /// Whether this node opened the connection.
  bool opened_locally() const { return opened_locally_; }
  /// Whether the connection is a mesh link, which floods use.
  bool mesh() const { return mesh_; }
  bool authenticated() const { return authenticated_; }
  bool closed() const { return closed_; }
  CloseCause cause() const { return cause_; }
  /// What was wrong, for events; never contains secrets.
  const std::string& detail() const { return detail_; }
  /// Id of the peer. Before authentication it is the id that the peer claims,
  /// or the node that the connection is being opened to.
  const std::string& peer() const { return peer_; }
  const std::string& peer_incarnation() const { return peer_incarnation_; }
  /// Address of the peer as "IP:PORT".
  const std::string& remote() const { return remote_; }

  TimePoint created_at() const { return created_at_; }
  TimePoint authenticated_at() const { return authenticated_at_; }
  TimePoint last_received_at() const { return last_received_at_; }
  TimePoint last_sent_at() const { return last_sent_at_; }
  /// When a message other than control traffic was last sent or received.
  TimePoint last_used_at() const { return last_used_at_; }
  /// Since when a message that was sent has not been followed by a received
  /// frame.
  std::optional<TimePoint> unanswered_since() const {
    return unanswered_since_;
  }
  /// Whether a message has been received since the last frame was sent, so that
  /// the peer needs a frame as a sign of life.
  bool needs_reply() const { return needs_reply_; }
  /// Since when the current write has made no progress.
  std::optional<TimePoint> write_blocked_since() const {
    return write_blocked_since_;
  }
  /// Returns whether all queued messages have been written.
  bool IsDrained() const { return queue_.empty() && !write_blocked_since_; }
  const OutboundQueue& queue() const { return queue_; }

  /// Advances the timestamps by which silence is detected by `gap`, for which
  /// this process was paused and could not receive.
  void AdjustForPause(Duration gap);

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
  std::string PeerFullId() const { return peer_ + "/" + peer_incarnation_; }
  void SetSocketOptions();

  PeerContext& context_;
  PeerConnectionDelegate& delegate_;
  boost::asio::ip::tcp::socket socket_;
  FrameReader reader_;
  OutboundQueue queue_;
  boost::fibers::mutex mutex_;
  boost::fibers::condition_variable wake_writer_;
  bool opened_locally_ = false;
  bool mesh_ = false;
  bool authenticated_ = false;
  bool closed_ = false;
  bool writer_finished_ = true;
  bool needs_reply_ = false;
  CloseCause cause_ = CloseCause::kClosedByPeer;
  std::string detail_;
  std::string peer_;
  std::string peer_incarnation_;
  std::string remote_;
  TimePoint created_at_;
  TimePoint authenticated_at_{};
  TimePoint last_received_at_;
  TimePoint last_sent_at_;
  TimePoint last_used_at_;
  std::optional<TimePoint> unanswered_since_;
  std::optional<TimePoint> write_blocked_since_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_CONNECTION_H_
