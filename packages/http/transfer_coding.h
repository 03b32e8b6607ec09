// Defines ReadTransferCoding, which decides whether the Transfer-Encoding of a
// message tells where its body ends.
#ifndef HTTP_TRANSFER_CODING_H_
#define HTTP_TRANSFER_CODING_H_

#include <span>
#include <string_view>

namespace tanagerloom {

/// What the Transfer-Encoding fields of a message say of its body.
enum class TransferCoding {
  kNone,     ///< There are none.
  kChunked,  ///< The body is in chunks and not encoded otherwise.
  /// The body is in chunks, within which it has a coding that is not supported.
  kUnsupported,
  /// The end of the body is unknown: the last coding is not `chunked`, or it is
  /// applied twice. What follows must not be taken for another message.
  kInvalid,
};

/// Returns what the values of the Transfer-Encoding fields say, in the order of
/// the fields (RFC 9112, section 6).
TransferCoding ReadTransferCoding(std::span<const std::string_view> values);

}  // namespace tanagerloom

#endif  // HTTP_TRANSFER_CODING_H_
