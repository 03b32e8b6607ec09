#include "routing/endpoint_reply.h"

#include <algorithm>
#include <charconv>
#include <string>

namespace tanagerloom {

namespace {

// Pause after a 429 that names none. A 503 without Retry-After need not mean
// load, so it sets no pause.
constexpr Duration kDefaultPause = std::chrono::milliseconds(500);

std::optional<Duration> RetryAfter(const HttpHeaders& headers) {
  const auto header = headers.Find("Retry-After");
  if (!header) {
    return std::nullopt;
  }
  double seconds = 0;
  const auto* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(seconds >= 0)) {
    return std::nullopt;
  }
  constexpr double kLongestSeconds = 3600;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kLongestSeconds)));
}

}  // namespace

bool IsCallersFault(int status) {
  return status >= 400 && status < 500 && status != 404 && status != 408 &&
         status != 425 && status != 429;
}

bool IsRelayedHeader(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
  });
  static constexpr std::string_view kDropped[] = {
      "connection", "content-length", "keep-alive", "transfer-encoding",
      "te",         "trailer",        "upgrade",    "x-request-id"};
  return std::find(std::begin(kDropped), std::end(kDropped), lower) ==
         std::end(kDropped);
}

EndpointRefusal ReadRefusal(int status,
                            const HttpHeaders& headers,
                            std::string_view body) {
  EndpointRefusal refusal;
  const bool not_run = headers.Find("X-Not-Run") == "true";
  if (not_run || status == 429) {
    refusal.verdict = Verdict::kNotRun;
  }
  if (status == 503 || status == 429) {
    refusal.backpressure = RetryAfter(headers);
  }
  if (status == 429 && !refusal.backpressure) {
    refusal.backpressure = kDefaultPause;
  }
  refusal.leaving =
      status == 503 && body.find("\"leaving\"") != std::string_view::npos;
  return refusal;
}

}  // namespace tanagerloom
