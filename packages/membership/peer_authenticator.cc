#include "membership/peer_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <utility>

#include "base/invariant.h"

namespace tanagerloom {

namespace {

// Appends a field preceded by its length, so that no two transcripts have the
// same encoding.
void AppendField(std::string& out, std::string_view field) {
  out += std::to_string(field.size());
  out += ':';
  out += field;
}

std::string Encode(PeerEnd end, const HandshakeTranscript& transcript) {
  std::string out;
  AppendField(out, "tanagerloom peer 1");
  AppendField(out, end == PeerEnd::kOpener ? "opener" : "accepter");
  AppendField(out, transcript.opener);
  AppendField(out, transcript.accepter);
  AppendField(out, transcript.opener_challenge);
  AppendField(out, transcript.accepter_challenge);
  return out;
}

std::string ComputeMac(const std::string& key, const std::string& text) {
  std::string out(kMacBytes, '\0');
  unsigned int n = 0;
  const auto* mac =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           reinterpret_cast<unsigned char*>(out.data()), &n);
  CheckInvariant(mac != nullptr && n == kMacBytes, "hmac_computed", {});
  return out;
}

}  // namespace

PeerAuthenticator::PeerAuthenticator(std::vector<std::string> keys)
    : keys_(std::move(keys)) {}

std::string PeerAuthenticator::NewChallenge() {
  std::string out(kChallengeBytes, '\0');
  const int ok = RAND_bytes(reinterpret_cast<unsigned char*>(out.data()),
                            static_cast<int>(out.size()));
  CheckInvariant(ok == 1, "random_bytes_available", {});
  return out;
}

std::string PeerAuthenticator::Prove(
    PeerEnd end,
    const HandshakeTranscript& transcript) const {
  return keys_.empty() ? std::string()
                       : ComputeMac(keys_.front(), Encode(end, transcript));
}

bool PeerAuthenticator::Verify(PeerEnd end,
                               const HandshakeTranscript& transcript,
                               std::string_view mac) const {
  if (mac.size() != kMacBytes ||
      transcript.opener_challenge.size() != kChallengeBytes ||
      transcript.accepter_challenge.size() != kChallengeBytes) {
    return false;
  }
  const std::string text = Encode(end, transcript);
  bool matches = false;
  for (const auto& it : keys_) {
    const std::string expected = ComputeMac(it, text);
    matches |= CRYPTO_memcmp(expected.data(), mac.data(), kMacBytes) == 0;
  }
  return matches;
}

}  // namespace tanagerloom
