#include "http/malformed_request.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include "http/http_message.h"
#include "http/http_server.h"
#include "http/transfer_coding.h"

namespace tanagerloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;

}  // namespace

bool IsEndOfConnection(boost::system::error_code ec) {
  return ec == bhttp::error::end_of_stream || ec == asio::error::eof ||
         ec == asio::error::connection_reset ||
         ec == asio::error::operation_aborted;
}

MalformedRequest ProblemOf(boost::system::error_code ec,
                           const HttpServerLimits& limits) {
  if (ec == bhttp::error::body_limit) {
    return {kBodyTooLarge, "the body is larger than " +
                               std::to_string(limits.max_body_bytes) +
                               " bytes"};
  }
  if (ec == bhttp::error::header_limit) {
    return {kHeaderTooLarge, "the header is larger than " +
                                 std::to_string(limits.max_header_bytes) +
                                 " bytes"};
  }
  if (ec == beast::error::timeout) {
    return {kRequestTimeout, "the request did not arrive in time"};
  }
  return {kBadRequest, "the request is malformed: " + ec.message()};
}

std::optional<MalformedRequest> FramingProblemOf(unsigned version,
                                                 const HttpRequest& request) {
  constexpr unsigned kHttp11 = 11;
  const auto coding =
      ReadTransferCoding(request.headers.FindAll("Transfer-Encoding"));
  if (coding == TransferCoding::kNone ||
      (coding == TransferCoding::kChunked && version >= kHttp11)) {
    return std::nullopt;
  }
  if (coding == TransferCoding::kUnsupported && version >= kHttp11) {
    return MalformedRequest{kNotImplemented,
                            "the transfer coding is not supported"};
  }
  return MalformedRequest{kBadRequest, "the end of the body is unknown"};
}

}  // namespace tanagerloom
