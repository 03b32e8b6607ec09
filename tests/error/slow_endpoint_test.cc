// Tests of an endpoint that reads its requests slowly, or not at all.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>
#include <vector>

#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

constexpr std::size_t kLongBodyBytes = 7UL * 1024 * 1024;

// Guards against an endpoint that reads nothing and gets as many long requests
// as others do, which it holds up until their deadline.
TEST(SlowEndpoint, HoldsUpOnlyOneLongRequest) {
  auto& site = *new ForwardingSite();
  // Connections are established by the kernel, and nobody reads them.
  boost::asio::ip::tcp::acceptor silent(
      Runtime::Get().io(), {boost::asio::ip::make_address("127.0.0.1"), 0});
  site.a.advertised_port = silent.local_endpoint().port();
  site.Start();
  constexpr int kRequests = 6;
  std::vector<int> statuses(kRequests);
  std::vector<boost::fibers::fiber> clients;
  clients.reserve(kRequests);
  for (auto& it : statuses) {
    clients.emplace_back([&] {
      auto request = site.Request("/book/x");
      request.body = std::string(kLongBodyBytes, 'b');
      const auto response = site.Send(request);
      it = response ? response.assume_value().status : 0;
    });
  }
  for (auto& it : clients) {
    it.join();
  }
  EXPECT_GE(std::ranges::count(statuses, 200), kRequests - 1);
}

}  // namespace
}  // namespace tanagerloom
