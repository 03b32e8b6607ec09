// Defines the exit statuses of tanagerctl, on which scripts rely.
#ifndef CTL_EXIT_STATUS_H_
#define CTL_EXIT_STATUS_H_

namespace tanagerloom {

enum class ExitStatus {
  kDone = 0,
  kRefused = 1,      ///< The file or call was refused; nothing was changed.
  kUsage = 2,        ///< The command line is wrong.
  kUnreachable = 3,  ///< No answer, or the platform can't be reached.
};

}  // namespace tanagerloom

#endif  // CTL_EXIT_STATUS_H_
