#include "base/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace tanagerloom {

namespace {

// A pipe that poll(2) calls writable takes this much without blocking.
constexpr std::size_t kMaxWriteBytes = PIPE_BUF;

// Returns whether `descriptor` takes a write without blocking, or fails at
// once, within `timeout`.
bool AwaitWritable(int descriptor, std::chrono::milliseconds timeout) {
  pollfd entry{descriptor, POLLOUT, 0};
  return poll(&entry, 1, static_cast<int>(timeout.count())) > 0;
}

}  // namespace

LineWriter::LineWriter(int descriptor, std::size_t max_bytes)
    : descriptor_(descriptor), max_bytes_(max_bytes) {}

void LineWriter::Write(std::string_view line) {
  Flush();
  if (kept_bytes_ + line.size() > max_bytes_) {
    ++dropped_count_;
    return;
  }
  kept_lines_.emplace_back(line);
  kept_bytes_ += line.size();
  Flush();
}

void LineWriter::Flush() {
  while (!kept_lines_.empty() && WriteOnce()) {
  }
}

void LineWriter::FlushWithin(std::chrono::milliseconds timeout) {
  using std::chrono::steady_clock;
  const auto deadline = steady_clock::now() + timeout;
  Flush();
  while (!kept_lines_.empty()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - steady_clock::now());
    if (left.count() <= 0 || !AwaitWritable(descriptor_, left)) {
      return;
    }
    Flush();
  }
}

std::uint64_t LineWriter::TakeDroppedCount() {
  return std::exchange(dropped_count_, 0);
}

bool LineWriter::WriteOnce() {
  if (!AwaitWritable(descriptor_, std::chrono::milliseconds(0))) {
    return false;
  }
  const auto& line = kept_lines_.front();
  const auto size = std::min(line.size() - written_of_first_, kMaxWriteBytes);
  const auto n = write(descriptor_, line.data() + written_of_first_, size);
  if (n < 0) {
    if (errno == EINTR || errno == EAGAIN) {
      return false;
    }
    // The reader has gone or the disk is full. Keeping the line would only keep
    // the later ones from being tried.
    ++dropped_count_;
    RemoveFirst();
    return true;
  }
  written_of_first_ += static_cast<std::size_t>(n);
  if (written_of_first_ == line.size()) {
    RemoveFirst();
  }
  return true;
}

void LineWriter::RemoveFirst() {
  kept_bytes_ -= kept_lines_.front().size();
  kept_lines_.pop_front();
  written_of_first_ = 0;
}

}  // namespace tanagerloom
