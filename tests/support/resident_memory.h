// Defines ResidentBytes, the memory that the test process uses.
#ifndef TESTS_SUPPORT_RESIDENT_MEMORY_H_
#define TESTS_SUPPORT_RESIDENT_MEMORY_H_

#include <unistd.h>

#include <cstddef>
#include <fstream>

namespace tanagerloom {

/// Returns the resident memory of this process.
inline std::size_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_RESIDENT_MEMORY_H_
