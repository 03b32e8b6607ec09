// Defines UploadLimit and Upload, which keep an endpoint that reads slowly from
// holding the memory of requests to other endpoints.
#ifndef FORWARDING_UPLOAD_LIMIT_H_
#define FORWARDING_UPLOAD_LIMIT_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace tanagerloom {

/// Limits the bytes of request bodies that are being written to one endpoint.
/// An endpoint that reads well has few of them at any time.
class UploadLimit {
 public:
  /// Shorter bodies are not counted: they fit into the buffers of a connection.
  static constexpr std::size_t kMinCountedBytes = 64UL * 1024;

  explicit UploadLimit(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Number of counted bytes that are being written to an endpoint.
  std::size_t bytes(const std::string& endpoint) const {
    const auto it = bytes_.find(endpoint);
    return it == bytes_.end() ? 0 : it->second;
  }

 private:
  friend class Upload;

  std::size_t max_bytes_;
  std::map<std::string, std::size_t> bytes_;  ///< By endpoint; no zeros.
};

/// The body of one attempt while it is being written.
class Upload {
 public:
  Upload(UploadLimit& limit, std::string endpoint, std::size_t bytes)
      : limit_(limit),
        endpoint_(std::move(endpoint)),
        bytes_(bytes < UploadLimit::kMinCountedBytes ? 0 : bytes) {
    const auto others = limit_.bytes(endpoint_);
    // One body may be longer than the limit.
    granted_ =
        bytes_ == 0 || others == 0 || others + bytes_ <= limit_.max_bytes_;
    if (!granted_) {
      bytes_ = 0;
    } else if (bytes_ > 0) {
      limit_.bytes_[endpoint_] += bytes_;
    }
  }
  ~Upload() { End(); }
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  /// Whether the body may be written to the endpoint now.
  bool granted() const { return granted_; }

  /// The body is written.
  void End() {
    if (bytes_ == 0) {
      return;
    }
    const auto it = limit_.bytes_.find(endpoint_);
    it->second -= std::exchange(bytes_, 0);
    if (it->second == 0) {
      limit_.bytes_.erase(it);
    }
  }

 private:
  UploadLimit& limit_;
  std::string endpoint_;
  std::size_t bytes_;  ///< That count toward the limit.
  bool granted_ = false;
};

}  // namespace tanagerloom

#endif  // FORWARDING_UPLOAD_LIMIT_H_
