// Measures what the peer network costs a node at idle, and guards against
// control traffic above the 3 KB/s that a node may use.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <cstdio>

#include "membership/peer_counters.h"
#include "tests/support/peer_site.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxBytesPerSecond = 3000;
constexpr auto kMeasured = 3s;

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& it) {
    return static_cast<double>(it.tv_sec) +
           static_cast<double>(it.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

// Sent and received bytes of all nodes so far.
double Bytes(const PeerSite& site) {
  double sum = 0;
  for (const auto& [id, node] : site.nodes) {
    sum += static_cast<double>(node->service.counters().bytes_sent +
                               node->service.counters().bytes_received);
  }
  return sum;
}

class PeerTraffic : public testing::TestWithParam<int> {};

TEST_P(PeerTraffic, IdleNodeStaysBelowItsLimit) {
  const int n = GetParam();
  PeerSite site;
  const Settings defaults;
  site.settings.vm_list_interval = defaults.vm_list_interval;
  site.settings.heartbeat_interval = defaults.heartbeat_interval;
  site.settings.peer_timeout = defaults.peer_timeout;
  site.settings.peer_links = defaults.peer_links;
  site.StartMany(n);
  ASSERT_TRUE(PeerSite::Wait([&] { return site.AllSee(n); }));
  boost::this_fiber::sleep_for(2s);
  const SteadyClock clock;
  const auto start = clock.Now();
  const double cpu = CpuSeconds();
  const double bytes = Bytes(site);
  boost::this_fiber::sleep_for(kMeasured);
  const double seconds =
      std::chrono::duration<double>(clock.Now() - start).count();
  const double per_node = seconds * n;
  const double rate = (Bytes(site) - bytes) / per_node;
  std::printf("nodes %2d: %6.0f B/s sent and received, %.3f%% of a core each\n",
              n, rate, 100 * (CpuSeconds() - cpu) / per_node);
  EXPECT_LT(rate, kMaxBytesPerSecond);
  EXPECT_TRUE(site.AllSee(n));
}

INSTANTIATE_TEST_SUITE_P(Sizes, PeerTraffic, testing::Values(2, 4, 8, 9, 16));

}  // namespace
}  // namespace tanagerloom
