// Defines AssembleCompletion, which turns a streamed completion into a whole
// one.
#ifndef ROUTING_COMPLETION_ASSEMBLER_H_
#define ROUTING_COMPLETION_ASSEMBLER_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace tanagerloom {

/// Merges the chunks of an event stream into the body that the engine would
/// have sent for `"stream":false`. Fails if a chunk is not a JSON object.
Result<std::string> AssembleCompletion(std::string_view events);

}  // namespace tanagerloom

#endif  // ROUTING_COMPLETION_ASSEMBLER_H_
