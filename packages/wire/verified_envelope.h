// Defines VerifyEnvelope, which checks each received envelope before any of its
// fields is read.
#ifndef WIRE_VERIFIED_ENVELOPE_H_
#define WIRE_VERIFIED_ENVELOPE_H_

#include <string_view>

#include "base/error.h"

namespace tanagerloom {

namespace wire {
struct Envelope;
}

/// Returns the envelope in `payload`, which must outlive it. `payload` needs no
/// alignment. Fails with kInvalid if the FlatBuffers verifier refuses it.
Result<const wire::Envelope*> VerifyEnvelope(std::string_view payload);

}  // namespace tanagerloom

#endif  // WIRE_VERIFIED_ENVELOPE_H_
