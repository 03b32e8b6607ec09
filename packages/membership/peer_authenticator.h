// Defines PeerAuthenticator, the proofs by which two nodes show each other that
// they know the same key without sending it.
#ifndef MEMBERSHIP_PEER_AUTHENTICATOR_H_
#define MEMBERSHIP_PEER_AUTHENTICATOR_H_

#include <string>
#include <string_view>
#include <vector>

namespace tanagerloom {

inline constexpr std::size_t kChallengeBytes = 32;
inline constexpr std::size_t kMacBytes = 32;

/// Which end of a connection a proof is from; a proof of one end is no proof of
/// the other, so that it can't be reflected.
enum class PeerEnd { kOpener, kAccepter };

/// Everything that a proof is bound to.
struct HandshakeTranscript {
  std::string opener;  ///< "NODE/INCARNATION".
  std::string accepter;
  std::string opener_challenge;
  std::string accepter_challenge;
};

/// Makes and checks proofs by HMAC-SHA256. Both challenges are fresh for each
/// connection, so that a recorded proof is worth nothing later.
class PeerAuthenticator {
 public:
  /// The first key signs, all verify, so that keys can be changed node by node.
  explicit PeerAuthenticator(std::vector<std::string> keys);

  /// A fresh challenge from the cryptographic random source.
  static std::string NewChallenge();

  /// The proof of one end.
  std::string Prove(PeerEnd end, const HandshakeTranscript& transcript) const;

  /// Whether `mac` is that end's proof under one of the keys. All keys are
  /// tried and compared in constant time.
  bool Verify(PeerEnd end,
              const HandshakeTranscript& transcript,
              std::string_view mac) const;

 private:
  std::vector<std::string> keys_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_PEER_AUTHENTICATOR_H_
