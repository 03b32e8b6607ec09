#include "testing/harness/node_process.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <vector>

#include "http/http_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/harness/process.h"

namespace tanagerloom::testing_support {

namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr auto kProbeTimeout = std::chrono::seconds(1);

}  // namespace

TestFolder::TestFolder()
    : path_(
          (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string()) {
  if (mkdtemp(path_.data()) == nullptr) {
    std::abort();
  }
}

TestFolder::~TestFolder() {
  std::error_code ec;
  std::filesystem::remove_all(path_, ec);
}

NodeProcess::NodeProcess(const std::string& folder,
                         const std::string& id,
                         Address store,
                         int retry_slack,
                         NodeLimits limits)
    : id_(id),
      front_{kLoopback, FreePort()},
      ready_{kLoopback, FreePort()},
      path_(folder + "/" + id + ".json") {
  nlohmann::json settings{
      {"nodeName", id},
      {"ip", kLoopback},
      {"zone", "z"},
      {"portRange", {FreePort()}},
      {"listen",
       {{"front", front_.ToString()}, {"readyAddr", ready_.ToString()}}},
      {"platform", {{"address", store.ToString()}}},
      {"bounds",
       {{"graceS", kNodeGrace.count()},
        {"retrySlack", retry_slack},
        {"leaseMs", kNodeHandoverGap.count()}}}};
  if (limits.memory_mb > 0) {
    settings["limits"]["memoryMb"] = limits.memory_mb;
  }
  if (limits.max_fds > 0) {
    settings["limits"]["maxFds"] = limits.max_fds;
  }
  std::ofstream(path_) << settings.dump();
  Start();
}

NodeProcess::~NodeProcess() = default;

void NodeProcess::Start() {
  process_ = std::make_unique<Process>(
      std::vector<std::string>{ProgramPath("apps/tanagerloomd"),
                               "--platform-settings", path_},
      path_ + "." + std::to_string(++start_count_) + ".log");
}

bool NodeProcess::IsReady() const {
  HttpClient client(Runtime::Get().io());
  const SteadyClock clock;
  const auto answer =
      client.Call(ready_, {"GET", "/tanagerloom/readiness", {}, ""},
                  {.deadline = clock.Now() + kProbeTimeout});
  return answer && answer.assume_value().status == 200;
}

}  // namespace tanagerloom::testing_support
