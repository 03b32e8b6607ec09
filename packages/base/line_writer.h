// Defines LineWriter, which writes lines to a file descriptor and never waits
// for its reader.
#ifndef BASE_LINE_WRITER_H_
#define BASE_LINE_WRITER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace tanagerloom {

/// Writes lines to a pipe, file or terminal as far as it takes them at once.
/// Lines that it doesn't take are kept up to a number of bytes; lines beyond
/// that are dropped whole and counted. The descriptor stays in blocking mode,
/// because that mode is shared with all processes that have it open: before
/// each write poll(2) tells whether there is room, and no write is longer than
/// what then fits at once.
class LineWriter {
 public:
  /// Max size of the kept lines unless the constructor gets another one. At the
  /// maximum rate of LogRateLimiter this is some seconds of the log.
  static constexpr std::size_t kDefaultMaxBytes = std::size_t{512} * 1024;

  /// Writes to `descriptor`, which stays open and belongs to the caller.
  explicit LineWriter(int descriptor, std::size_t max_bytes = kDefaultMaxBytes);

  /// Writes `line`, which ends with a line feed, or keeps it for later.
  void Write(std::string_view line);

  /// Writes as many of the kept lines as there is room for.
  void Flush();

  /// Writes the kept lines, and waits up to `timeout` for their reader.
  void FlushWithin(std::chrono::milliseconds timeout);

  /// Returns the number of dropped lines since the last call and resets it.
  std::uint64_t TakeDroppedCount();

  std::uint64_t dropped_count() const { return dropped_count_; }

  /// Returns whether more than half of the bytes for kept lines are in use.
  bool IsCongested() const { return kept_bytes_ > max_bytes_ / 2; }

 private:
  /// Writes a part of the first kept line; returns whether it could.
  bool WriteOnce();
  void RemoveFirst();

  int descriptor_;
  std::size_t max_bytes_;
  std::deque<std::string> kept_lines_;
  std::size_t kept_bytes_ = 0;
  /// Length of the part of the first kept line that is already written. Such a
  /// line is never dropped, so that no line is torn.
  std::size_t written_of_first_ = 0;
  std::uint64_t dropped_count_ = 0;
};

}  // namespace tanagerloom

#endif  // BASE_LINE_WRITER_H_
