// Defines Node, one entry node put together from its parts.
#ifndef NODE_NODE_H_
#define NODE_NODE_H_

#include <memory>

#include "base/error.h"
#include "config/settings.h"

namespace tanagerloom {

class EventLog;

/// All parts of one `tanagerloomd` process.
class Node {
 public:
  Node(Settings settings, EventLog& log);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the listeners and starts the fibers.
  Result<void> Start();

  /// Begins a graceful shutdown, or hastens one that has begun. Returns at
  /// once.
  void RequestStop();

  /// Suspends the calling fiber until the shutdown is complete.
  void WaitUntilStopped();

 private:
  struct Parts;

  void RunShutdown();

  std::unique_ptr<Parts> parts_;
};

}  // namespace tanagerloom

#endif  // NODE_NODE_H_
