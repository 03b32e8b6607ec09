// Measures traffic and CPU time of the peer network on an idle node. Guards
// against control traffic above the limit of 3 KB/s per node.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <cstdio>

#include "membership/peer_counters.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxBytesPerSecond = 3000;
constexpr auto kMeasurementTime = 3s;

// CPU time of the process so far, in seconds.
double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Bytes that all nodes sent and received so far.
double TotalBytes(const PeerSite& site) {
  double sum = 0;
  for (const auto& [id, node] : site.nodes) {
    sum += static_cast<double>(node->service.counters().bytes_sent +
                               node->service.counters().bytes_received);
  }
  return sum;
}

// The parameter is the number of nodes.
class PeerTraffic : public testing::TestWithParam<int> {};

// Guards against traffic of a node that grows with the number of nodes until it
// exceeds the limit, with the default intervals.
TEST_P(PeerTraffic, IdleNodeStaysBelowItsLimit) {
  const int n = GetParam();
  PeerSite site;
  const Settings defaults;
  site.settings.vm_list_interval = defaults.vm_list_interval;
  site.settings.heartbeat_interval = defaults.heartbeat_interval;
  site.settings.peer_timeout = defaults.peer_timeout;
  site.settings.peer_links = defaults.peer_links;
  site.StartNodes(n);
  ASSERT_TRUE(PeerSite::WaitUntil([&] { return site.AllNodesSee(n); }));
  boost::this_fiber::sleep_for(2s);
  const SteadyClock clock;
  const auto start = clock.Now();
  const double cpu_before = CpuSeconds();
  const double bytes_before = TotalBytes(site);
  boost::this_fiber::sleep_for(kMeasurementTime);
  const double seconds =
      std::chrono::duration<double>(clock.Now() - start).count();
  const double per_node = seconds * n;
  const double bytes_per_second = (TotalBytes(site) - bytes_before) / per_node;
  std::printf("nodes %2d: %6.0f B/s sent and received, %.3f%% of a core each\n",
              n, bytes_per_second,
              100 * (CpuSeconds() - cpu_before) / per_node);
  EXPECT_LT(bytes_per_second, kMaxBytesPerSecond);
  EXPECT_TRUE(site.AllNodesSee(n));
}

INSTANTIATE_TEST_SUITE_P(Sizes, PeerTraffic, testing::Values(2, 4, 8, 9, 16));

}  // namespace
}  // namespace tanagerloom
