// Defines ExitStatus, the exit statuses of tanagerctl. Scripts rely on their
// values.
#ifndef CTL_EXIT_STATUS_H_
#define CTL_EXIT_STATUS_H_

namespace tanagerloom {

/// Exit status of a command.
enum class ExitStatus {
  kDone = 0,         ///< The command succeeded.
  kRefused = 1,      ///< The file or call was refused; nothing was changed.
  kUsage = 2,        ///< The command line is wrong.
  kUnreachable = 3,  ///< No response, or the platform is unavailable.
};

}  // namespace tanagerloom

#endif  // CTL_EXIT_STATUS_H_
