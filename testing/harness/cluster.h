// Defines Cluster, with which a test starts the real programs of the system and
// the stand-ins as processes, all on the loopback address.
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

/// Options with which a cluster is started.
struct ClusterOptions {
  /// Puts the fault proxy in front of every endpoint (link "ID"), every node's
  /// peer port ("ID-peer"), and between each node and the platform
  /// ("ID-platform").
  bool with_proxy = false;
  /// Seed of the random faults of the proxy.
  std::uint64_t proxy_seed = 1;
  /// Additional flags of the platform stand-in.
  std::vector<std::string> platform_flags;
  /// Additional flags of the weight store stand-in.
  std::vector<std::string> weight_store_flags;
  /// Merge patch for the settings of every node.
  nlohmann::json node_settings = nlohmann::json::object();
};

/// The processes of one test. The destructor kills all of them.
class Cluster {
 public:
  /// Starts the platform, the weight store and, if `with_proxy` is set, the
  /// proxy.
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  /// Starts an engine stand-in and adds its VM to the platform's list. Like the
  /// other Add functions, it waits until the process accepts connections and
  /// returns false if the process ends or does not accept any in time.
  bool AddEngine(const std::string& id,
                 const std::string& pool,
                 const std::vector<std::string>& flags = {});
  /// Starts a stand-in of a plain service and adds its VM to the list.
  bool AddService(const std::string& id,
                  const std::string& pool,
                  const std::vector<std::string>& flags = {});
  /// Starts a node and adds its VM to the list. `settings` is a merge patch for
  /// the settings of this node.
  bool AddNode(const std::string& id,
               const std::string& data_centre = "dc-1",
               const nlohmann::json& settings = nlohmann::json::object());

  /// Starts a process again with the same arguments and ports, after killing it
  /// if it still runs. Returns false if it accepts no connections.
  bool Restart(const std::string& id);

  /// Adds the VM of a node to the platform's list again after it was removed,
  /// and starts the node. Returns false if it accepts no connections.
  bool ReplaceNode(const std::string& id);

  Process& process(const std::string& id) { return *vms_.at(id).process; }
  std::vector<std::string> node_ids() const { return node_ids_; }
  std::vector<std::string> engine_ids() const { return engine_ids_; }

  /// Returns the address where clients reach a node, or the own address of an
  /// endpoint, without the proxy.
  Address address(const std::string& id) const { return vms_.at(id).address; }
  /// Returns the address of a node's admin listener.
  Address admin(const std::string& id) const { return vms_.at(id).admin; }
  Address platform() const { return platform_address_; }
  Address weight_store() const { return weight_store_address_; }

  /// Applies a configuration file with tanagerctl through a node. Returns the
  /// exit status of tanagerctl, or -1 if it does not exit in time; its output
  /// goes to `output`.
  int Apply(const nlohmann::json& configuration,
            const std::string& node,
            const std::string& token,
            std::string* output = nullptr);

  /// Changes the test control settings of a stand-in: "platform",
  /// "weight-store" or the id of an endpoint.
  void Control(const std::string& id, const nlohmann::json& changes);
  /// Changes the faults of a proxy link.
  void SetLinkFaults(const std::string& link, const nlohmann::json& changes);
  /// Adds a VM to the platform's list or changes some of its fields.
  void SetVm(const std::string& id, const nlohmann::json& fields);
  /// Removes a VM from the platform's list; its process continues.
  void RemoveVm(const std::string& id);

  /// Returns all events of an endpoint's ledger, also after its process has
  /// ended.
  nlohmann::json Ledger(const std::string& id) const;
  /// Returns the ledgers of all engines, in the order of engine_ids().
  std::vector<nlohmann::json> EngineLedgers() const;
  /// Returns the JSON that a stand-in or node sends on GET; null if it does not
  /// answer with status 200.
  nlohmann::json Read(const Address& from, const std::string& target);
  /// Returns the JSON value of an object in the platform's store; null if there
  /// is none.
  nlohmann::json Object(const std::string& key);

  /// Returns the folder of logs, settings and ledgers.
  const std::string& folder() const { return folder_; }
  TestClient& client() { return client_; }

 private:
  struct VmProcess {
    std::vector<std::string> arguments;
    std::unique_ptr<Process> process;
    Address address;
    Address admin;
    nlohmann::json fields;  ///< Entry in the VM list; empty for endpoints.
  };

  /// Starts the process of a VM and waits until it accepts connections.
  bool Start(const std::string& id);
  bool AddEndpoint(const std::string& id,
                   const std::string& role,
                   const std::string& pool,
                   std::vector<std::string> arguments,
                   const std::vector<std::string>& flags);
  std::unique_ptr<Process> StartStandin(const std::string& name,
                                        std::uint16_t port,
                                        const std::vector<std::string>& flags);
  /// Adds a proxy link to `port` and returns the port where it listens. Returns
  /// `port` itself if there is no proxy.
  std::uint16_t AddLink(const std::string& name, std::uint16_t port);
  /// Returns false if the process ends or does not accept connections in time.
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
