// Defines functions that measure the processor time of the calling thread.
// Unlike elapsed time, it does not grow while other processes run.
#ifndef TESTS_SUPPORT_PROCESSOR_TIME_H_
#define TESTS_SUPPORT_PROCESSOR_TIME_H_

#include <ctime>

namespace tanagerloom {

/// Returns the processor time that this thread has used, in milliseconds.
inline double ProcessorMs() {
  constexpr double kMsPerSecond = 1e3;
  constexpr double kNsPerMs = 1e6;
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kMsPerSecond +
         static_cast<double>(now.tv_nsec) / kNsPerMs;
}

/// Runs a task and returns its processor time in milliseconds.
template <typename Task>
double MeasureProcessorMs(Task task) {
  const double start = ProcessorMs();
  task();
  return ProcessorMs() - start;
}

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_PROCESSOR_TIME_H_
