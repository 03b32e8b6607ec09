#include "apps/tanagerloomd/fleet_daemon.h"

#include <malloc.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include "apps/tanagerloomd/log_flusher.h"
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

constexpr int kExitStartFailed = 1;
constexpr int kExitInvalidSettings = 2;
// Events kept in memory. It is low because memory is scarce on these VMs, and
// the log has all events.
constexpr std::size_t kMaxEventsInMemory = 100;
// Fraction of the VM's memory for the responses that one HTTP client reads.
constexpr std::uint64_t kClientMemoryDivisor = 8;

Result<FleetSettings> ReadSettings(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file.good() && !file.eof()) {
    return MakeError(ErrorKind::kInvalid, "cannot read the file");
  }
  return platform::DecodeSettings(text.str());
}

FleetSettings ReadSettingsOrExit(const std::string& path, bool check_only) {
  auto settings = ReadSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.assume_error().message << "\n";
    Runtime::Exit(kExitInvalidSettings);
  }
  if (check_only) {
    std::cout << path << ": ok\n";
    Runtime::Exit(0);
  }
  return std::move(settings).assume_value();
}

// Lets glibc return the memory of each long body to the kernel when it is
// freed. By default it raises the threshold once such a block is freed, and
// then keeps the next ones in its heap, where they outlive their requests.
void ReturnLongBlocks() {
  constexpr int kMinMappedBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
}

// Holds back stop and reload signals until their handlers are installed. They
// may be sent as soon as the process exists.
void HoldSignals() {
  sigset_t set;
  sigemptyset(&set);
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&set, it);
  }
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

// Reads the settings file again and applies it. If it is invalid, records this
// and keeps the settings in force.
void ReloadSettings(FleetNode& node, EventLog& log, const std::string& path) {
  const auto settings = ReadSettings(path);
  if (settings) {
    node.ReloadSettings(settings.assume_value());
  } else {
    log.Record(events::kEntryIgnored,
               {{"entry", path}, {"cause", settings.assume_error().message}});
  }
}

}  // namespace

void RunFleetDaemon(const std::string& settings_path, bool check_only) {
  HoldSignals();
  ReturnLongBlocks();
  const auto settings = ReadSettingsOrExit(settings_path, check_only);
  auto& runtime = Runtime::Get();
  EventLog log(settings.node_id, kMaxEventsInMemory, MakeLogger(/*json=*/true));
  SetInvariantLog(&log);
  SteadyClock clock;
  StartLogFlusher(log, clock);
  // Separate, so that faulty engines leave the store its memory.
  const auto buffer_bytes = settings.memory_bytes / kClientMemoryDivisor;
  HttpClient store_client(runtime.io(), buffer_bytes);
  HttpClient engine_client(runtime.io(), buffer_bytes);
  platform::StoreClient store(store_client, clock, settings.store);
  platform::EngineClient engines(engine_client, clock);
  const platform::HeaderProtocol protocol;
  FleetNode node(settings,
                 {store, store, engines, protocol,
                  platform::MakeRegistryFormat(), store.era()},
                 log);
  // A stop signal that arrives while the node starts takes effect after the
  // start; it must not end the process at once.
  bool running = false;
  bool stop_requested = false;
  runtime.OnStopSignal([&](int) {
    stop_requested = true;
    if (running) {
      node.RequestStop();
    }
  });
  runtime.OnReloadSignal([&] {
    if (running) {
      ReloadSettings(node, log, settings_path);
    }
  });
  const auto started = node.Start();
  if (!started) {
    std::cerr << "cannot start: " << started.assume_error().message << "\n";
    log.FlushBeforeExit();
    Runtime::Exit(kExitStartFailed);
  }
  running = true;
  if (stop_requested) {
    node.RequestStop();
  }
  node.WaitUntilStopped();
  log.FlushBeforeExit();
  Runtime::Exit(0);
}

}  // namespace tanagerloom
