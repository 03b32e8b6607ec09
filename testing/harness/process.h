// Defines Process, a child process of a test. Every child ends with its object,
// or with the test process.
#ifndef TESTING_HARNESS_PROCESS_H_
#define TESTING_HARNESS_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// A started program; its output goes to a file.
class Process {
 public:
  /// Starts `arguments`, of which the first is the program's path.
  Process(const std::vector<std::string>& arguments, std::string log_path);
  /// Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  const std::string& log_path() const { return log_path_; }

  void Signal(int number);
  void Kill();
  /// SIGSTOP and SIGCONT: a process that stands still, then goes on.
  void Pause();
  void Resume();

  bool IsRunning();

  /// Waits for the end; the exit status, or 128 plus the signal that ended it.
  /// Empty on the timeout.
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

  /// What the process has written so far.
  std::string Output() const;

 private:
  pid_t pid_ = -1;
  std::optional<int> status_;
  std::string log_path_;
};

/// A port that no process listens on, outside the range from which the kernel
/// takes ports for outgoing connections.
std::uint16_t FreePort();

/// The path of a built program, such as "testing/engine_standin".
std::string ProgramPath(const std::string& name);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_PROCESS_H_
