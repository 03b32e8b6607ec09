#include "apps/tanagerloomd/fleet_daemon.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "base/event_log.h"
#include "base/events.h"
#include "base/invariant.h"
#include "http/http_client.h"
#include "node/fleet_node.h"
#include "platform/engine_client.h"
#include "platform/entry_decoder.h"
#include "platform/header_protocol.h"
#include "platform/settings_decoder.h"
#include "platform/store_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitSettings = 2;
// Events kept in memory, which is dear on these VMs; the log has all of them.
constexpr std::size_t kEventsKept = 100;

Result<FleetSettings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.good() && !file.eof()) {
    return MakeError(ErrorKind::kInvalid, "cannot read the file");
  }
  return platform::DecodeSettings(text.str());
}

FleetSettings LoadOrExit(const std::string& path, bool check_only) {
  auto settings = ReadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.assume_error().message << "\n";
    Runtime::Exit(kExitSettings);
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    Runtime::Exit(0);
  }
  return std::move(settings).assume_value();
}

// Settings that cannot be read leave those in force.
void Reload(FleetNode& node, EventLog& log, const std::string& path) {
  const auto settings = ReadSettings(path);
  if (settings) {
    node.Reload(settings.assume_value());
  } else {
    log.Record(events::kEntryIgnored,
               {{"entry", path}, {"cause", settings.assume_error().message}});
  }
}

}  // namespace

void RunFleetDaemon(const std::string& settings_path, bool check_only) {
  const auto settings = LoadOrExit(settings_path, check_only);
  auto& runtime = Runtime::Get();
  EventLog log(settings.node_id, kEventsKept, MakeLogger(/*json=*/true));
  SetInvariantLog(&log);
  SteadyClock clock;
  HttpClient client(runtime.io());
  platform::StoreClient store(client, clock, settings.store);
  platform::EngineClient engines(client, clock);
  const platform::HeaderProtocol protocol;
  FleetNode node(
      settings,
      {store, store, engines, protocol, platform::MakeRegistryFormat()}, log);
  // A signal that comes while the node starts must not end the process.
  bool running = false;
  bool stop_asked = false;
  runtime.OnStopSignal([&](int) {
    stop_asked = true;
    if (running) {
      node.RequestStop();
    }
  });
  runtime.OnReloadSignal([&] {
    if (running) {
      Reload(node, log, settings_path);
    }
  });
  const auto started = node.Start();
  if (!started) {
    std::cerr << "cannot start: " << started.assume_error().message << "\n";
    Runtime::Exit(kExitFailed);
  }
  running = true;
  if (stop_asked) {
    node.RequestStop();
  }
  node.WaitUntilStopped();
  Runtime::Exit(0);
}

}  // namespace tanagerloom
