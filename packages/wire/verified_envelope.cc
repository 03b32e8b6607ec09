#include "wire/verified_envelope.h"

#include "wire/generated/peer_generated.h"

namespace tanagerloom {

namespace {

// Limits on the verifier's work on hostile input. The schema nests three tables
// deep.
constexpr flatbuffers::uoffset_t kMaxTableDepth = 8;
constexpr flatbuffers::uoffset_t kMaxTables = 100000;

}  // namespace

Result<const wire::Envelope*> VerifyEnvelope(std::string_view payload) {
  const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(data, payload.size(), kMaxTableDepth,
                                 kMaxTables,
                                 /*check_alignment=*/false);
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return MakeError(
        ErrorKind::kInvalid,
        "malformed envelope of " + std::to_string(payload.size()) + " bytes");
  }
  return wire::GetEnvelope(data);
}

}  // namespace tanagerloom
