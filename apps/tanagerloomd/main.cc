// The program tanagerloomd, the daemon of an entry VM. Runs either a Node with
// its own settings or a node of a registered fleet, see RunFleetDaemon.
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/tanagerloomd/fleet_daemon.h"
#include "apps/tanagerloomd/log_flusher.h"
#include "base/event_log.h"
#include "base/invariant.h"
#include "config/settings.h"
#include "node/node.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace {

constexpr char kUsage[] = R"(tanagerloomd: serves requests on an entry VM.

Usage:
  tanagerloomd --settings FILE [--check-settings]
  tanagerloomd --platform-settings FILE [--check-settings]
  tanagerloomd --help
  tanagerloomd --version

Options:
  --settings FILE   Settings, JSON with comments (docs/settings.md).
  --platform-settings FILE  Settings as the users' platform writes them, for a
                    node that serves the endpoints registered there
                    (docs/platform.md).
  --check-settings  Print every problem of the settings and exit.
  -h --help         Print this text.
  --version         Print the version.

Exit status: 0 after a graceful shutdown, 1 if the node could not start,
2 for wrong settings or usage.
)";

constexpr char kVersion[] = "tanagerloomd 0.1.0";
constexpr int kExitStartFailed = 1;
constexpr int kExitUsage = 2;

std::string ReadFile(const std::string& path, bool& ok) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  ok = file.good() || file.eof();
  return text.str();
}

tanagerloom::Settings LoadSettings(const std::string& path, bool check_only) {
  bool ok = false;
  const std::string text = ReadFile(path, ok);
  if (!ok) {
    std::cerr << "cannot read the settings file " << path << "\n";
    tanagerloom::Runtime::Exit(kExitUsage);
  }
  auto outcome = tanagerloom::ParseSettings(text);
  for (const auto& it : outcome.problems) {
    std::cerr << path << ": " << it.where << ": " << it.what << "\n";
  }
  if (!outcome.problems.empty()) {
    tanagerloom::Runtime::Exit(kExitUsage);
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    tanagerloom::Runtime::Exit(0);
  }
  return std::move(outcome.settings);
}

}  // namespace

int main(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc},
                                        /*help=*/true, kVersion);
  if (arguments.at("--platform-settings")) {
    tanagerloom::RunFleetDaemon(arguments.at("--platform-settings").asString(),
                                arguments.at("--check-settings").asBool());
  }
  auto settings = LoadSettings(arguments.at("--settings").asString(),
                               arguments.at("--check-settings").asBool());
  auto& runtime = tanagerloom::Runtime::Get();
  tanagerloom::EventLog log(settings.node_id, settings.event_ring_size,
                            tanagerloom::MakeLogger(settings.json_logs));
  tanagerloom::SteadyClock clock;
  tanagerloom::StartLogFlusher(log, clock);
  tanagerloom::SetInvariantLog(&log);
  tanagerloom::Node node(std::move(settings), log);
  const auto started = node.Start();
  if (!started) {
    std::cerr << "cannot start: " << started.assume_error().message << "\n";
    log.FlushBeforeExit();
    tanagerloom::Runtime::Exit(kExitStartFailed);
  }
  runtime.OnStopSignal([&](int) { node.RequestStop(); });
  node.WaitUntilStopped();
  log.FlushBeforeExit();
  tanagerloom::Runtime::Exit(0);
}
