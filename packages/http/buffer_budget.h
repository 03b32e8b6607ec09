// Defines BufferBudget and BufferShare, which limit the memory that all
// connections of a process together use for requests and responses.
#ifndef HTTP_BUFFER_BUDGET_H_
#define HTTP_BUFFER_BUDGET_H_

#include <cstddef>

namespace tanagerloom {

/// A number of bytes that buffers share. Clients and endpoints may send bytes
/// without end; without a limit over all of them a few would use up a small VM.
class BufferBudget {
 public:
  /// One response may use this fraction of the budget, so that several endless
  /// ones leave room for all others.
  static constexpr std::size_t kDefaultShareDivisor = 8;

  /// The bytes also count toward `whole`, of which this budget is a part, if
  /// there is one. It must outlive this budget.
  explicit BufferBudget(std::size_t max_bytes,
                        std::size_t share_divisor = kDefaultShareDivisor,
                        BufferBudget* whole = nullptr)
      : max_bytes_(max_bytes),
        max_share_bytes_(max_bytes / share_divisor),
        whole_(whole) {}

  std::size_t used_bytes() const { return used_bytes_; }
  std::size_t max_bytes() const { return max_bytes_; }
  /// Largest share of one response.
  std::size_t max_share_bytes() const { return max_share_bytes_; }

 private:
  friend class BufferShare;

  /// Whether `more` bytes fit.
  bool HasRoom(std::size_t more) const {
    return used_bytes_ + more <= max_bytes_ &&
           (whole_ == nullptr || whole_->HasRoom(more));
  }
  /// Replaces `old_bytes` of the used bytes by `new_bytes`.
  void Replace(std::size_t old_bytes, std::size_t new_bytes) {
    used_bytes_ = used_bytes_ - old_bytes + new_bytes;
    if (whole_ != nullptr) {
      whole_->Replace(old_bytes, new_bytes);
    }
  }

  std::size_t max_bytes_;
  std::size_t max_share_bytes_;
  BufferBudget* whole_;
  std::size_t used_bytes_ = 0;
};

/// The part of a budget that one buffer uses, until it is destroyed.
class BufferShare {
 public:
  explicit BufferShare(BufferBudget& budget) : budget_(budget) {}
  ~BufferShare() { Set(0); }
  BufferShare(const BufferShare&) = delete;
  BufferShare& operator=(const BufferShare&) = delete;

  std::size_t bytes() const { return bytes_; }

  /// Sets the size of the buffer, for a caller that has compared it with a
  /// limit of its own.
  void Set(std::size_t bytes) {
    budget_.Replace(bytes_, bytes);
    bytes_ = bytes;
  }

  /// Sets the size of the buffer. Returns false, and changes nothing, if the
  /// buffer may not grow so far.
  bool Resize(std::size_t bytes) {
    if (bytes > bytes_ && (bytes > budget_.max_share_bytes() ||
                           !budget_.HasRoom(bytes - bytes_))) {
      return false;
    }
    Set(bytes);
    return true;
  }

 private:
  BufferBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace tanagerloom

#endif  // HTTP_BUFFER_BUDGET_H_
