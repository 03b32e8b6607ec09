// Defines NodeProcess, which runs one node of a registered fleet as a process,
// for tests with a stand-in of the platform's object store.
#ifndef TESTING_HARNESS_NODE_PROCESS_H_
#define TESTING_HARNESS_NODE_PROCESS_H_

#include <chrono>
#include <memory>
#include <string>

#include "base/address.h"

namespace tanagerloom::testing_support {

class Process;

/// Grace time in the settings of the nodes.
constexpr std::chrono::seconds kNodeGrace{6};
/// Handover gap in the settings of the nodes.
constexpr std::chrono::milliseconds kNodeHandoverGap{1500};

/// Limits in the settings of a node; 0 leaves one out.
struct NodeLimits {
  int memory_mb = 0;
  int max_fds = 0;
};

/// A temporary folder for the files of one test. The destructor removes it.
class TestFolder {
 public:
  TestFolder();
  ~TestFolder();
  TestFolder(const TestFolder&) = delete;
  TestFolder& operator=(const TestFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// A node process with its settings file and its ports.
class NodeProcess {
 public:
  /// Writes the settings into `folder` and starts the node. `retry_slack` is
  /// the number of retries that the fleet may send beside those in proportion
  /// to its requests.
  NodeProcess(const std::string& folder,
              const std::string& id,
              Address store,
              int retry_slack = 50,
              NodeLimits limits = {});
  ~NodeProcess();

  /// Starts the node, also after its process has ended. A running process is
  /// killed.
  void Start();

  /// Whether the readiness probe of the node passes.
  bool IsReady() const;

  Process& process() { return *process_; }
  const std::string& id() const { return id_; }
  /// Returns the address where clients reach the node.
  const Address& front() const { return front_; }
  const std::string& settings_path() const { return path_; }

 private:
  std::string id_;
  Address front_;
  Address ready_;
  std::string path_;
  int start_count_ = 0;
  std::unique_ptr<Process> process_;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_NODE_PROCESS_H_
