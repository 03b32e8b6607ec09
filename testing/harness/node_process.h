// Defines NodeProcess, one node of a registered fleet as a real process, for
// tests with a stand-in of the platform's store.
#ifndef TESTING_HARNESS_NODE_PROCESS_H_
#define TESTING_HARNESS_NODE_PROCESS_H_

#include <chrono>
#include <memory>
#include <string>

#include "base/address.h"

namespace tanagerloom::testing_support {

class Process;

/// Grace time and handover gap in the settings of the nodes.
constexpr std::chrono::seconds kNodeGrace{6};
constexpr std::chrono::milliseconds kNodeHandoverGap{1500};

/// A folder for the files of one test, removed with its object.
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

/// One node and the ports that it was given.
class NodeProcess {
 public:
  /// Writes the settings into `folder` and starts the node.
  NodeProcess(const std::string& folder, const std::string& id, Address store);
  ~NodeProcess();

  /// Starts it, also after its process has ended.
  void Start();

  /// Whether its readiness probe passes.
  bool IsReady() const;

  Process& process() { return *process_; }
  const std::string& id() const { return id_; }
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
