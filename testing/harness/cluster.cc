#include "testing/harness/cluster.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "testing/harness/wait.h"

namespace tanagerloom::testing_support {

namespace {

const std::string kLoopback = "127.0.0.1";
constexpr auto kCommandTimeout = std::chrono::seconds(30);

std::string MakeTempFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "tanagerloom-XXXXXX").string();
  return mkdtemp(path.data()) == nullptr ? "." : path;
}

void Append(std::vector<std::string>& to,
            const std::vector<std::string>& more) {
  to.insert(to.end(), more.begin(), more.end());
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)),
      folder_(MakeTempFolder()),
      platform_address_{kLoopback, FreePort()},
      weight_store_address_{kLoopback, FreePort()} {
  platform_ = StartStandin("platform_standin", platform_address_.port,
                           options_.platform_flags);
  weight_store_ =
      StartStandin("weight_store_standin", weight_store_address_.port,
                   options_.weight_store_flags);
  if (options_.with_proxy) {
    proxy_address_ = {kLoopback, FreePort()};
    proxy_ = StartStandin("fault_proxy", proxy_address_.port,
                          {"--seed", std::to_string(options_.proxy_seed)});
  }
}

Cluster::~Cluster() {
  vms_.clear();
  // If TANAGERLOOM_KEEP_LOGS is set, the logs, settings and ledgers stay.
  if (std::getenv("TANAGERLOOM_KEEP_LOGS") == nullptr) {
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
}

std::unique_ptr<Process> Cluster::StartStandin(
    const std::string& name,
    std::uint16_t port,
    const std::vector<std::string>& flags) {
  std::vector<std::string> arguments{ProgramPath("testing/" + name), "--port",
                                     std::to_string(port)};
  Append(arguments, flags);
  auto process =
      std::make_unique<Process>(arguments, folder_ + "/" + name + ".log");
  WaitForListener({kLoopback, port}, *process);
  return process;
}

bool Cluster::WaitForListener(const Address& address, Process& process) {
  // Any response shows that the process accepts connections. No stand-in counts
  // a GET of this path as a request.
  return WaitUntil([&] {
           return !process.IsRunning() ||
                  client_.SendJson(address, "GET", "/test/ledger", nullptr)
                          .status != 0;
         }) &&
         process.IsRunning();
}

std::uint16_t Cluster::AddLink(const std::string& name, std::uint16_t port) {
  if (proxy_ == nullptr) {
    return port;
  }
  const auto answer = client_.SendJson(proxy_address_, "PUT", "/links/" + name,
                                       {{"target", port}, {"listen", 0}});
  return answer.Json().value("listen", std::uint16_t{0});
}

bool Cluster::Start(const std::string& id) {
  auto& vm = vms_.at(id);
  vm.process.reset();
  vm.process =
      std::make_unique<Process>(vm.arguments, folder_ + "/" + id + ".log");
  return WaitForListener(vm.address, *vm.process);
}

bool Cluster::Restart(const std::string& id) {
  return Start(id);
}

bool Cluster::AddEndpoint(const std::string& id,
                          const std::string& role,
                          const std::string& pool,
                          std::vector<std::string> arguments,
                          const std::vector<std::string>& flags) {
  auto& vm = vms_[id];
  vm.address = {kLoopback, FreePort()};
  Append(arguments, {"--id", id, "--port", std::to_string(vm.address.port),
                     "--ledger", folder_ + "/" + id + ".ledger"});
  Append(arguments, flags);
  vm.arguments = std::move(arguments);
  const bool started = Start(id);
  SetVm(id, {{"role", role},
             {"address", kLoopback},
             {"port", AddLink(id, vm.address.port)},
             {"data_centre", "dc-1"},
             {"pool", pool}});
  return started;
}

bool Cluster::AddEngine(const std::string& id,
                        const std::string& pool,
                        const std::vector<std::string>& flags) {
  engine_ids_.push_back(id);
  return AddEndpoint(id, "engine", pool,
                     {ProgramPath("testing/engine_standin"), "--weights",
                      weight_store_address_.ToString()},
                     flags);
}

bool Cluster::AddService(const std::string& id,
                         const std::string& pool,
                         const std::vector<std::string>& flags) {
  return AddEndpoint(id, "service", pool,
                     {ProgramPath("testing/service_standin")}, flags);
}

bool Cluster::AddNode(const std::string& id,
                      const std::string& data_centre,
                      const nlohmann::json& settings) {
  auto& vm = vms_[id];
  vm.address = {kLoopback, FreePort()};
  vm.admin = {kLoopback, FreePort()};
  const Address peer{kLoopback, FreePort()};
  const Address platform{kLoopback,
                         AddLink(id + "-platform", platform_address_.port)};
  nlohmann::json merged{{"node_id", id},
                        {"data_centre", data_centre},
                        {"region", "region-1"},
                        {"caller_listen", vm.address.ToString()},
                        {"peer_listen", peer.ToString()},
                        {"admin_listen", vm.admin.ToString()},
                        {"platform", platform.ToString()},
                        {"peer_keys", {"0123456789abcdef0123456789abcdef"}}};
  merged.merge_patch(options_.node_settings);
  merged.merge_patch(settings);
  const auto path = folder_ + "/" + id + ".settings.json";
  std::ofstream(path) << merged.dump(2);
  vm.arguments = {ProgramPath("apps/tanagerloomd"), "--settings", path};
  node_ids_.push_back(id);
  vm.fields = {{"role", "node"},
               {"address", kLoopback},
               {"port", vm.address.port},
               {"peer_port", AddLink(id + "-peer", peer.port)},
               {"admin_port", vm.admin.port},
               {"data_centre", data_centre},
               {"state", "live"}};
  return ReplaceNode(id);
}

bool Cluster::ReplaceNode(const std::string& id) {
  SetVm(id, vms_.at(id).fields);
  return Start(id);
}

int Cluster::Apply(const nlohmann::json& configuration,
                   const std::string& node,
                   const std::string& token,
                   std::string* output) {
  const auto name = "apply-" + std::to_string(FreePort());
  const auto path = folder_ + "/" + name + ".json";
  std::ofstream(path) << configuration.dump(2);
  Process process({ProgramPath("apps/tanagerctl"), "apply", path, "--node",
                   admin(node).ToString(), "--token", token},
                  folder_ + "/" + name + ".log");
  const auto status = process.WaitForExit(kCommandTimeout);
  if (output != nullptr) {
    *output = process.Output();
  }
  return status.value_or(-1);
}

void Cluster::Control(const std::string& id, const nlohmann::json& changes) {
  const auto address = id == "platform"       ? platform_address_
                       : id == "weight-store" ? weight_store_address_
                                              : vms_.at(id).address;
  (void)client_.SendJson(address, "POST", "/test/control", changes);
}

void Cluster::SetLinkFaults(const std::string& link,
                            const nlohmann::json& changes) {
  (void)client_.SendJson(proxy_address_, "POST", "/links/" + link, changes);
}

void Cluster::SetVm(const std::string& id, const nlohmann::json& fields) {
  (void)client_.SendJson(platform_address_, "PUT", "/test/vms/" + id, fields);
}

void Cluster::RemoveVm(const std::string& id) {
  (void)client_.SendJson(platform_address_, "DELETE", "/test/vms/" + id,
                         nullptr);
}

nlohmann::json Cluster::Ledger(const std::string& id) const {
  auto events = nlohmann::json::array();
  std::ifstream in(folder_ + "/" + id + ".ledger");
  for (std::string line; std::getline(in, line);) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object()) {
      events.push_back(std::move(event));
    }
  }
  return events;
}

std::vector<nlohmann::json> Cluster::EngineLedgers() const {
  std::vector<nlohmann::json> ledgers;
  for (const auto& it : engine_ids_) {
    ledgers.push_back(Ledger(it));
  }
  return ledgers;
}

nlohmann::json Cluster::Read(const Address& from, const std::string& target) {
  const auto answer = client_.SendJson(from, "GET", target, nullptr);
  return answer.status == 200 ? answer.Json() : nlohmann::json();
}

nlohmann::json Cluster::Object(const std::string& key) {
  return Read(platform_address_, "/test/objects/" + key);
}

}  // namespace tanagerloom::testing_support
