// Defines RequestMemory, which decides which clients may take memory of the
// process for the requests that they send. It runs without a network and gets
// the time from its caller.
#ifndef HTTP_REQUEST_MEMORY_H_
#define HTTP_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <utility>

#include "http/buffer_budget.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// Answer to a request that needs more memory.
enum class MemoryDecision {
  kGranted,
  kWait,     ///< Ask again when memory is free.
  kRefused,  ///< There is none, and the request has waited long enough.
};

/// The memory of one connection and of the request on it.
class RequestMemoryUse {
 public:
  /// `end_read` ends the read that waits for the client.
  RequestMemoryUse(BufferBudget& budget, std::function<void()> end_read)
      : share_(budget), end_read_(std::move(end_read)) {}

  /// Bytes that it may use now.
  std::size_t bytes() const { return share_.bytes(); }

 private:
  friend class RequestMemory;

  BufferShare share_;
  std::function<void()> end_read_;
  bool reading_ = false;  ///< The client has still to send a part.
  bool waiting_ = false;  ///< It is in the list of those that wait.
  TimePoint waits_since_{};
  /// When the client had last sent enough to count as progress, and the number
  /// of bytes that had arrived then.
  TimePoint progress_at_{};
  std::size_t progress_bytes_ = 0;
  std::list<RequestMemoryUse*>::iterator place_;  ///< Among those being read.
};

/// Shares a budget among the requests of all clients. Near its limit requests
/// wait in the order of their arrival, the wait is short and the number of
/// those that wait is limited, so that a client learns soon that there is no
/// room. Requests that take memory while their client sends nothing are ended
/// for those that wait.
class RequestMemory {
 public:
  /// What one connection takes without a request: mostly the stack of its
  /// fiber.
  static constexpr std::size_t kConnectionBytes = 16UL * 1024;
  /// Up to this size a request takes memory as its bytes arrive, without a
  /// place in the order of those that wait. Most requests are smaller.
  static constexpr std::size_t kSmallRequestBytes = 64UL * 1024;
  /// Longest wait for memory.
  static constexpr Duration kMaxWait = std::chrono::seconds(1);
  /// Max number of requests that wait. Each of them has unread bytes in the
  /// kernel, which count as memory of the VM too.
  static constexpr std::size_t kMaxWaiting = 64;
  /// A client that sends less than the least progress in this time is stalled.
  static constexpr Duration kStallTime = std::chrono::seconds(1);

  explicit RequestMemory(BufferBudget& budget) : budget_(budget) {}

  BufferBudget& budget() { return budget_; }

  /// Takes the memory of a new connection. Returns false if there is none.
  bool AddConnection(RequestMemoryUse& use);
  /// Ends the use of a connection.
  void RemoveConnection(RequestMemoryUse& use);

  /// A request begins to arrive on a connection.
  void BeginRead(RequestMemoryUse& use, TimePoint now);
  /// Notes how many bytes of the request have arrived in all.
  void OnProgress(RequestMemoryUse& use, std::size_t arrived, TimePoint now);
  /// Asks for `bytes` in all for the request.
  MemoryDecision Grow(RequestMemoryUse& use, std::size_t bytes, TimePoint now);
  /// The request has arrived, or is refused: it keeps only `bytes`.
  void EndRead(RequestMemoryUse& use, std::size_t bytes);

  /// Ends the read of one request for others that need its memory or the place
  /// of its connection: of those whose client is stalled the one with most
  /// memory. Returns false if no client is.
  bool EndStalled(TimePoint now);

  /// Number of requests refused, and of those ended as stalled.
  std::uint64_t refused() const { return refused_; }
  std::uint64_t ended() const { return ended_; }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  bool Fits(const RequestMemoryUse& use, std::size_t bytes) const;
  void StopWaiting(RequestMemoryUse& use);

  BufferBudget& budget_;
  std::list<RequestMemoryUse*> reading_;
  std::list<RequestMemoryUse*> waiting_;  ///< In the order of their arrival.
  std::uint64_t refused_ = 0;
  std::uint64_t ended_ = 0;
};

}  // namespace tanagerloom

#endif  // HTTP_REQUEST_MEMORY_H_
