#include "testing/harness/process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/fiber/operations.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace tanagerloom::testing_support {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(10);
// The ports lie below the kernel's default range for outgoing connections.
constexpr int kFirstPort = 12000;
constexpr int kLastPort = 32000;
// 127.0.0.2, the address on which test processes reserve ports.
constexpr std::uint32_t kReservationAddress = 0x7f000002;

// Replaces the child after fork() by the program. Exits with status 127 if that
// fails or if the parent has already ended.
[[noreturn]] void RunChild(const std::vector<std::string>& arguments,
                           const std::string& log_path,
                           pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(127);
  }
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  // The sockets of the test must not stay open in the child.
  for (int fd = 3; fd < 4096; ++fd) {
    close(fd);
  }
  std::vector<char*> argv;
  for (const auto& it : arguments) {
    argv.push_back(const_cast<char*>(it.c_str()));
  }
  argv.push_back(nullptr);
  execv(argv[0], argv.data());
  _exit(127);
}

// Returns a socket bound to the address, or -1 if it cannot be bound.
int BindSocket(std::uint16_t port, std::uint32_t ip) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(ip);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
      0) {
    return fd;
  }
  close(fd);
  return -1;
}

// Reserves a port among all test processes until this one ends, by binding it
// on a loopback address that nothing else uses. Without this, two processes
// that search at the same time could find the same port. Returns false if the
// port is already reserved.
bool ReservePort(std::uint16_t port) {
  return BindSocket(port, kReservationAddress) >= 0;
}

bool IsPortFree(std::uint16_t port) {
  const int fd = BindSocket(port, INADDR_LOOPBACK);
  if (fd >= 0) {
    close(fd);
  }
  return fd >= 0;
}

}  // namespace

Process::Process(const std::vector<std::string>& arguments,
                 std::string log_path)
    : log_path_(std::move(log_path)) {
  const pid_t parent = getpid();
  // The program inherits the mask and unblocks the signals that it handles. So
  // a signal that is sent right after the start does not end it before that.
  sigset_t held;
  sigset_t previous;
  sigemptyset(&held);
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    sigaddset(&held, it);
  }
  sigprocmask(SIG_BLOCK, &held, &previous);
  pid_ = fork();
  if (pid_ == 0) {
    RunChild(arguments, log_path_, parent);
  }
  sigprocmask(SIG_SETMASK, &previous, nullptr);
}

Process::~Process() {
  Kill();
}

void Process::Signal(int number) {
  if (IsRunning()) {
    kill(pid_, number);
  }
}

void Process::Kill() {
  if (IsRunning()) {
    kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    status_ = 128 + SIGKILL;
  }
}

void Process::Pause() {
  Signal(SIGSTOP);
}

void Process::Resume() {
  Signal(SIGCONT);
}

bool Process::IsRunning() {
  if (status_ || pid_ <= 0) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  return false;
}

std::optional<int> Process::WaitForExit(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (IsRunning() && std::chrono::steady_clock::now() < end) {
    boost::this_fiber::sleep_for(kPollInterval);
  }
  return status_;
}

std::string Process::Output() const {
  std::ifstream in(log_path_);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::uint16_t FreePort() {
  // Each process starts its search at another port, so that tests that run at
  // the same time rarely meet.
  static int next = kFirstPort + getpid() * 97 % (kLastPort - kFirstPort);
  while (true) {
    next = next >= kLastPort ? kFirstPort : next + 1;
    const auto port = static_cast<std::uint16_t>(next);
    if (ReservePort(port) && IsPortFree(port)) {
      return port;
    }
  }
}

std::string ProgramPath(const std::string& name) {
  const char* folder = std::getenv("TANAGERLOOM_BIN");
  if (folder != nullptr) {
    return std::string(folder) + "/" + name;
  }
  // Without the variable, as when a test is started by hand: the programs lie
  // in folders next to that of the test.
  std::error_code ec;
  const auto self = std::filesystem::read_symlink("/proc/self/exe", ec);
  return (self.parent_path().parent_path() / name).string();
}

}  // namespace tanagerloom::testing_support
