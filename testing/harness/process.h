// Defines Process, a child process of a test, and the search for free ports and
// built programs. Every child ends with its object or with the test process.
#ifndef TESTING_HARNESS_PROCESS_H_
#define TESTING_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// A child process whose output is appended to a file.
class Process {
 public:
  /// Starts the program at the path `arguments[0]` with the other arguments. If
  /// the program cannot be executed, the child exits with status 127.
  Process(const std::vector<std::string>& arguments, std::string log_path);
  /// Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  const std::string& log_path() const { return log_path_; }

  /// Sends a signal if the process runs.
  void Signal(int number);
  /// Kills the process with SIGKILL and waits for its end.
  void Kill();
  /// Suspends the process with SIGSTOP.
  void Pause();
  /// Continues a suspended process with SIGCONT.
  void Resume();

  /// Whether the process has not ended; a suspended process counts as running.
  bool IsRunning();

  /// Waits for the end of the process. Returns its exit status, or 128 plus the
  /// signal that ended it; empty on the timeout.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

  /// Returns the content of the output file.
  std::string Output() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;  ///< Exit status once the process has ended.
  std::string log_path_;
};

/// Returns a port that no process listens on and that no other test process
/// gets while this one runs. The kernel does not use it for outgoing
/// connections.
std::uint16_t FreePort();

/// Returns the path of a built program, such as "testing/engine_standin".
std::string ProgramPath(const std::string& name);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_PROCESS_H_
