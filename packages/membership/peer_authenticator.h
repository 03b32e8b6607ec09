// Defines PeerAuthenticator, with which two nodes prove to each other that they
// know the same key without sending it.
#ifndef MEMBERSHIP_PEER_AUTHENTICATOR_H_
#define MEMBERSHIP_PEER_AUTHENTICATOR_H_

#include <string>
#include <string_view>
#include <vector>

namespace tanagerloom {

/// Size of a challenge.
inline constexpr std::size_t kChallengeBytes = 32;
/// Size of a proof, an HMAC-SHA256.
inline constexpr std::size_t kMacBytes = 32;

/// The end of a connection that makes a proof. The proof of one end is not
/// valid for the other, so that it cannot be reflected.
enum class PeerEnd { kOpener, kAccepter };

/// The values of a handshake that a proof covers.
struct HandshakeTranscript {
  std::string opener;    ///< "NODE/INCARNATION" of the opener.
  std::string accepter;  ///< "NODE/INCARNATION" of the accepter.
  std::string opener_challenge;
  std::string accepter_challenge;
};

/// Makes and verifies proofs with HMAC-SHA256. Both challenges are new for each
/// connection, so that a recorded proof cannot be replayed.
class PeerAuthenticator {
 public:
  /// The first key makes proofs and all keys verify them, so that keys can be
  /// changed node by node.
  explicit PeerAuthenticator(std::vector<std::string> keys);

  /// Returns a new challenge from the cryptographic random source.
  static std::string NewChallenge();

  /// Returns the proof of one end, or an empty string if there is no key.
  std::string Prove(PeerEnd end, const HandshakeTranscript& transcript) const;

  /// Returns whether `mac` is the proof of that end under one of the keys.
  /// Always checks all keys and compares in constant time.
  bool Verify(PeerEnd end,
              const HandshakeTranscript& transcript,
              std::string_view mac) const;

 private:
  std::vector<std::string> keys_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_AUTHENTICATOR_H_
