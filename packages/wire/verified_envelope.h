// Defines VerifyEnvelope, through which every received frame passes before any
// of its fields is read.
#ifndef WIRE_VERIFIED_ENVELOPE_H_
#define WIRE_VERIFIED_ENVELOPE_H_

#include <string_view>

#include "base/error.h"

namespace tanagerloom {

namespace wire {
struct Envelope;
}

/// The envelope in `payload`, which must outlive it; kInvalid if the verifier
/// of FlatBuffers rejects it. `payload` needs no alignment.
Result<const wire::Envelope*> VerifyEnvelope(std::string_view payload);

}  // namespace tanagerloom

#endif  // WIRE_VERIFIED_ENVELOPE_H_
