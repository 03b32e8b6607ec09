// Defines the frames of the peer protocol: a 4-byte little-endian length and
// that many bytes. A length outside the limit makes the connection unusable,
// because the start of the next frame is then unknown.
#ifndef WIRE_FRAME_H_
#define WIRE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"

namespace tanagerloom {

inline constexpr std::size_t kFrameHeaderBytes = 4;
/// Largest frame, without its length field. The object API's values are
/// limited to 1 MB as well, so that a record always fits with room to spare
/// only if it is smaller than this by the envelope's own size.
inline constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/// Largest frame before the other end has proved that it knows a key.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 4096;

/// Adds the length field to `payload`, which is at most kMaxFrameBytes.
std::string MakeFrame(std::string_view payload);

/// Splits received bytes into frames.
class FrameReader {
 public:
  /// Limits the frames that follow.
  void set_limit(std::size_t bytes) { limit_ = bytes; }

  /// Adds received bytes.
  void Append(std::span<const char> bytes);

  /// Takes the next frame into `payload`. Returns false if it is not complete
  /// yet, and kInvalid if the length is 0 or above the limit.
  Result<bool> Next(std::string& payload);

  /// Bytes received of a frame that is not complete.
  std::size_t pending() const { return buffer_.size() - start_; }

 private:
  std::size_t limit_ = kMaxFrameBytes;
  std::string buffer_;
  std::size_t start_ = 0;
};

}  // namespace tanagerloom

#endif  // WIRE_FRAME_H_
