#include "wire/frame.h"

#include "base/invariant.h"

namespace tanagerloom {

std::string MakeFrame(std::string_view payload) {
  CheckInvariantLazy(!payload.empty() && payload.size() <= kMaxFrameBytes,
                     "frame_size", [&] {
                       return nlohmann::json{{"bytes", payload.size()}};
                     });
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame += static_cast<char>((payload.size() >> (8 * i)) & 0xff);
  }
  frame += payload;
  return frame;
}

void FrameReader::Append(std::span<const char> bytes) {
  if (start_ > 0) {
    buffer_.erase(0, start_);
    start_ = 0;
  }
  buffer_.append(bytes.data(), bytes.size());
}

Result<bool> FrameReader::Next(std::string& payload) {
  if (pending() < kFrameHeaderBytes) {
    return false;
  }
  std::size_t n = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    n |= static_cast<std::size_t>(
             static_cast<unsigned char>(buffer_[start_ + i]))
         << (8 * i);
  }
  if (n == 0 || n > max_frame_bytes_) {
    return MakeError(ErrorKind::kInvalid, "frame of " + std::to_string(n) +
                                              " bytes; must be 1 to " +
                                              std::to_string(max_frame_bytes_));
  }
  if (pending() < kFrameHeaderBytes + n) {
    return false;
  }
  payload.assign(buffer_, start_ + kFrameHeaderBytes, n);
  start_ += kFrameHeaderBytes + n;
  return true;
}

}  // namespace tanagerloom
