#include "base/invariant.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include "base/event_log.h"
#include "base/events.h"

namespace tanagerloom {

namespace {

EventLog* g_log = nullptr;
std::uint64_t g_checked = 0;

}  // namespace

std::uint64_t InvariantsChecked() {
  return g_checked;
}

void SetInvariantLog(EventLog* log) {
  g_log = log;
}

void CheckInvariant(bool holds,
                    std::string_view name,
                    const nlohmann::json& values) {
  ++g_checked;
  if (holds) {
    return;
  }
  if (g_log != nullptr) {
    g_log->Record(events::kInvariantViolated,
                  {{"invariant", name}, {"values", values}});
  }
  const std::string text = values.dump();
  std::fprintf(stderr, "invariant violated: %.*s %s\n",
               static_cast<int>(name.size()), name.data(), text.c_str());
  std::fflush(stderr);
  std::abort();
}

}  // namespace tanagerloom
