// Defines Checkpoint, through which a long computation lets other fibers run.
#ifndef RUNTIME_CHECKPOINT_H_
#define RUNTIME_CHECKPOINT_H_

#include <functional>

namespace tanagerloom {

/// Called by a computation between its steps. It may suspend the calling fiber,
/// so the computation must not depend on state that other fibers change.
using Checkpoint = std::function<void()>;

/// Returns a checkpoint that does nothing.
inline Checkpoint NoCheckpoint() {
  return [] {};
}

}  // namespace tanagerloom

#endif  // RUNTIME_CHECKPOINT_H_
