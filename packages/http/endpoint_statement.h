// Defines EndpointStatement, what an endpoint says of itself in a response.
#ifndef HTTP_ENDPOINT_STATEMENT_H_
#define HTTP_ENDPOINT_STATEMENT_H_

#include <optional>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

/// Statements of an endpoint that bind the node which received the response.
struct EndpointStatement {
  bool leaving = false;  ///< It takes no new requests and leaves soon.
  /// It wants no requests for this long.
  std::optional<Duration> pause;
};

/// Longest pause that is honoured. A longer one would set an endpoint aside for
/// good because of one wrong value.
inline constexpr Duration kMaxPause = std::chrono::hours(24);

/// Parses a number of seconds, which may have a fraction. Returns nothing if it
/// is no number, negative, infinite or above kMaxPause.
std::optional<Duration> ParsePause(std::string_view seconds);

}  // namespace tanagerloom

#endif  // HTTP_ENDPOINT_STATEMENT_H_
