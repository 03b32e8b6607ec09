// Tests of an endpoint that writes an earlier refusal once more on a connection
// that is kept open.
#include <gtest/gtest.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "runtime/await.h"
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;

// Refuses the first request on each connection as not run. Later ones on the
// same connection run, but are answered by the earlier refusal once more.
class RepeatingEndpoint {
 public:
  RepeatingEndpoint()
      : acceptor_(Runtime::Get().io(),
                  {asio::ip::make_address("127.0.0.1"), 0}) {
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }

  Vm AsService(const std::string& id) const {
    Vm vm;
    vm.id = id;
    vm.role = VmRole::kService;
    vm.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
    vm.data_centre = "dc1";
    vm.pool = "desk-pool";
    return vm;
  }

  int refused = 0;
  int runs = 0;

 private:
  void AcceptLoop() {
    while (true) {
      auto socket =
          std::make_shared<asio::ip::tcp::socket>(Runtime::Get().io());
      if (AwaitIo([&](auto done) {
            acceptor_.async_accept(*socket, done);
          }).ec) {
        return;
      }
      boost::fibers::fiber([this, socket] { Serve(*socket); }).detach();
    }
  }

  void Serve(asio::ip::tcp::socket& socket) {
    std::string refusal;
    asio::streambuf input;
    while (true) {
      const auto read = AwaitIo([&](auto done) {
        asio::async_read_until(socket, input, "body", done);
      });
      if (read.ec) {
        return;
      }
      const std::string request(asio::buffers_begin(input.data()),
                                asio::buffers_end(input.data()));
      input.consume(input.size());
      if (refusal.empty()) {
        ++refused;
        refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " +
                  IdIn(request) +
                  "\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n";
      } else {
        ++runs;
      }
      AwaitIo([&](auto done) {
        asio::async_write(socket, asio::buffer(refusal), done);
      });
    }
  }

  static std::string IdIn(const std::string& request) {
    const std::string_view field = "X-Request-Id: ";
    const auto start = request.find(field) + field.size();
    return request.substr(start, request.find('\r', start) - start);
  }

  asio::ip::tcp::acceptor acceptor_;
};

// Guards against telling a client that its call was not run, on the word of a
// refusal that belongs to an earlier attempt.
TEST_F(RoutingTest, RepeatedRefusalIsNotTakenForTheAnswerToARetry) {
  auto& endpoint = *new RepeatingEndpoint();
  auto& node = AddNode("n1");
  node.peers.vms.push_back(endpoint.AsService("s1"));
  node.Start();
  auto request = Service("POST", "/repeat/x");
  request.headers.Set("X-Deadline-Ms", "2000");
  const auto answer = Call(node, request);
  ASSERT_TRUE(answer);
  EXPECT_GE(endpoint.refused, 2);
  EXPECT_EQ(endpoint.runs, 0);
}

}  // namespace
}  // namespace tanagerloom
