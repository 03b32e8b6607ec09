// Defines Node, which composes an entry node from the services it runs.
#ifndef NODE_NODE_H_
#define NODE_NODE_H_

#include <memory>

#include "base/error.h"
#include "config/settings.h"

namespace tanagerloom {

class EventLog;

/// An entry node: all components of one `tanagerloomd` process.
class Node {
 public:
  Node(Settings settings, EventLog& log);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Opens the listeners and starts the fibers. Fails if a listener can't be
  /// opened.
  Result<void> Start();

  /// Starts a graceful shutdown and returns at once. A second call refuses all
  /// requests that are still waiting, so that the shutdown ends sooner.
  void RequestStop();

  /// Suspends the calling fiber until the shutdown is complete.
  void WaitUntilStopped();

 private:
  struct Parts;

  /// Runs a graceful shutdown to its end, in its own fiber.
  void RunShutdown();

  std::unique_ptr<Parts> parts_;
};

}  // namespace tanagerloom

#endif  // NODE_NODE_H_
