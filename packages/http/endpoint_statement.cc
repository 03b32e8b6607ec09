#include "http/endpoint_statement.h"

#include <charconv>

namespace tanagerloom {

std::optional<Duration> ParsePause(std::string_view seconds) {
  double value = 0;
  const auto* end = seconds.data() + seconds.size();
  const auto parsed = std::from_chars(seconds.data(), end, value);
  const double max = std::chrono::duration<double>(kMaxPause).count();
  if (parsed.ec != std::errc() || parsed.ptr != end || !(value >= 0) ||
      value > max) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

}  // namespace tanagerloom
