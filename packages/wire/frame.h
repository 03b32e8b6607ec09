// Defines the frames of the peer protocol. A frame is a 4-byte little-endian
// length followed by that many bytes of payload. After a length outside the
// limits the connection is unusable, because the start of the next frame is
// unknown.
#ifndef WIRE_FRAME_H_
#define WIRE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"

namespace tanagerloom {

/// Size of the length field.
inline constexpr std::size_t kFrameHeaderBytes = 4;
/// Maximum payload size. Values of the object store have the same limit of 1
/// MB, so a stored record fits a frame only if it is smaller than the limit by
/// the size of the envelope.
inline constexpr std::size_t kMaxFrameBytes = 1024 * 1024;
/// Maximum payload size until the peer has proved that it knows a key.
inline constexpr std::size_t kMaxHandshakeFrameBytes = 4096;

/// Returns the frame with `payload`, which has 1 to kMaxFrameBytes bytes.
std::string MakeFrame(std::string_view payload);

/// Extracts the frames from a stream of received bytes.
class FrameReader {
 public:
  /// Sets the maximum payload size of the following frames.
  void set_max_frame_bytes(std::size_t bytes) { max_frame_bytes_ = bytes; }

  /// Appends received bytes.
  void Append(std::span<const char> bytes);

  /// Moves the payload of the next frame into `payload`. Returns false if the
  /// frame is not complete yet. Fails with kInvalid if its length is 0 or above
  /// the limit.
  Result<bool> Next(std::string& payload);

  /// Returns the number of received bytes that Next has not returned yet.
  std::size_t pending() const { return buffer_.size() - start_; }

 private:
  std::size_t max_frame_bytes_ = kMaxFrameBytes;
  std::string buffer_;
  std::size_t start_ = 0;
};

}  // namespace tanagerloom

#endif  // WIRE_FRAME_H_
