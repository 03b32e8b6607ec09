// Defines AssembleCompletion, which makes a whole completion of a streamed one.
#ifndef ROUTING_COMPLETION_ASSEMBLER_H_
#define ROUTING_COMPLETION_ASSEMBLER_H_

#include <string>
#include <string_view>

#include "base/error.h"

namespace tanagerloom {

/// Merges the chunks of an event stream into the body that the engine would
/// have sent for `"stream":false`. An error names a chunk that cannot be read.
Result<std::string> AssembleCompletion(std::string_view events);

}  // namespace tanagerloom

#endif  // ROUTING_COMPLETION_ASSEMBLER_H_
