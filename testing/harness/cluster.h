// Defines Cluster: the real programs of the system and the stand-ins, started
// as processes by a test, all on the loopback address.
#ifndef TESTING_HARNESS_CLUSTER_H_
#define TESTING_HARNESS_CLUSTER_H_

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/address.h"
#include "testing/harness/process.h"
#include "testing/harness/test_client.h"

namespace tanagerloom::testing_support {

/// How a cluster is started.
struct ClusterOptions {
  /// Puts the fault proxy in front of every endpoint (link "ID"), every node's
  /// peer port ("ID-peer"), and between each node and the platform
  /// ("ID-platform").
  bool with_proxy = false;
  std::uint64_t proxy_seed = 1;
  std::vector<std::string> platform_flags;
  std::vector<std::string> weight_store_flags;
  /// Keys that replace those of every node's settings.
  nlohmann::json node_settings = nlohmann::json::object();
};

/// Processes of one test. The destructor ends all of them.
class Cluster {
 public:
  /// Starts the platform, the weight store and, if asked for, the proxy.
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts a process and enters its VM in the list. Each waits until the
  /// process accepts connections; false if it does not.
  bool AddEngine(const std::string& id,
                 const std::string& pool,
                 const std::vector<std::string>& flags = {});
  bool AddService(const std::string& id,
                  const std::string& pool,
                  const std::vector<std::string>& flags = {});
  bool AddNode(const std::string& id,
               const std::string& data_centre = "dc-1",
               const nlohmann::json& settings = nlohmann::json::object());

  /// Starts an ended process again with the same arguments and ports.
  bool Restart(const std::string& id);

  /// Enters the VM of a node that was removed from the list again and starts
  /// its process.
  bool ReplaceNode(const std::string& id);

  Process& process(const std::string& id) { return *vms_.at(id).process; }
  std::vector<std::string> node_ids() const { return node_ids_; }
  std::vector<std::string> engine_ids() const { return engine_ids_; }

  /// Where callers reach a node, its admin listener, or an endpoint directly.
  Address address(const std::string& id) const { return vms_.at(id).address; }
  Address admin(const std::string& id) const { return vms_.at(id).admin; }
  Address platform() const { return platform_address_; }
  Address weight_store() const { return weight_store_address_; }

  /// Applies a configuration file by tanagerctl through a node; the exit
  /// status, with the program's output in `output`.
  int Apply(const nlohmann::json& configuration,
            const std::string& node,
            const std::string& token,
            std::string* output = nullptr);

  /// Changes the test control of a stand-in: "platform", "weight-store" or the
  /// id of an endpoint.
  void Control(const std::string& id, const nlohmann::json& changes);
  /// Changes the faults of a proxy link.
  void SetLinkFaults(const std::string& link, const nlohmann::json& changes);
  /// Changes a VM in the platform's list.
  void SetVm(const std::string& id, const nlohmann::json& fields);
  void RemoveVm(const std::string& id);

  /// All events of an endpoint's ledger; also after the process ended.
  nlohmann::json Ledger(const std::string& id) const;
  /// The ledgers of all engines.
  std::vector<nlohmann::json> EngineLedgers() const;
  /// GET of a stand-in's or node's JSON; null if that fails.
  nlohmann::json Read(const Address& from, const std::string& target);
  /// The JSON value of an object of the platform; null if there is none.
  nlohmann::json Object(const std::string& key);

  /// The folder of logs, settings and ledgers.
  const std::string& folder() const { return folder_; }
  TestClient& client() { return client_; }

 private:
  struct VmProcess {
    std::vector<std::string> arguments;
    std::unique_ptr<Process> process;
    Address address;
    Address admin;
    nlohmann::json fields;  ///< Of a node in the VM list.
  };

  bool Start(const std::string& id);
  bool AddEndpoint(const std::string& id,
                   const std::string& role,
                   const std::string& pool,
                   std::vector<std::string> arguments,
                   const std::vector<std::string>& flags);
  std::unique_ptr<Process> StartStandin(const std::string& name,
                                        std::uint16_t port,
                                        const std::vector<std::string>& flags);
  /// The port through which others reach `port`.
  std::uint16_t AddLink(const std::string& name, std::uint16_t port);
  bool WaitForListener(const Address& address, Process& process);

  ClusterOptions options_;
  std::string folder_;
  TestClient client_;
  Address platform_address_;
  Address weight_store_address_;
  Address proxy_address_;
  std::unique_ptr<Process> platform_;
  std::unique_ptr<Process> weight_store_;
  std::unique_ptr<Process> proxy_;
  std::map<std::string, VmProcess> vms_;
  std::vector<std::string> node_ids_;
  std::vector<std::string> engine_ids_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_CLUSTER_H_
