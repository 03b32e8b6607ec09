// Tests of invalid, oversized and slow requests of clients. Guards against a
// refusal that does not name the problem or does not state that nothing ran.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>

#include "runtime/await.h"
#include "tests/routing_fakes.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;

class ClientInputTest : public RoutingTest {
 protected:
  void SetUp() override {
    node_ = &AddNode("n1");
    node_->Start();
  }

  // Sends the request and expects a refusal whose message holds
  // `expected_text`.
  void ExpectRefusal(const HttpRequest& request,
                     int status,
                     const std::string& code,
                     const std::string& expected_text) {
    const auto response = Call(*node_, request);
    ASSERT_TRUE(response) << response.assume_error().error.message;
    EXPECT_EQ(response.assume_value().status, status);
    const auto error = ErrorOf(response);
    EXPECT_EQ(error["code"], code);
    EXPECT_EQ(error["verdict"], "not_run");
    EXPECT_NE(error["message"].get<std::string>().find(expected_text),
              std::string::npos)
        << error["message"];
  }

  static HttpRequest WithBody(const std::string& body) {
    auto request = Chat(false);
    request.body = body;
    return request;
  }

  static HttpRequest WithHeader(const char* name, const std::string& value) {
    auto request = Chat(false);
    request.headers.Set(name, value);
    return request;
  }

  FakeNode* node_ = nullptr;
};

// Guards against a header that is ignored when its value is invalid.
TEST_F(ClientInputTest, InvalidHeaderIsNamedInTheRefusal) {
  ExpectRefusal({"GET", "/v1/models", {}, ""}, 401, "missing_key",
                "Authorization");
  ExpectRefusal(WithHeader("Authorization", "Basic x"), 401, "invalid_key",
                "Bearer");
  ExpectRefusal(WithHeader("Authorization", "Bearer wrong"), 401, "invalid_key",
                "no client");
  ExpectRefusal(WithHeader("X-Precedence", "golden"), 400, "unknown_class",
                "'golden'");
  auto other_client = WithHeader("X-Precedence", "later");
  other_client.headers.Set("Authorization", "Bearer key-b");
  ExpectRefusal(other_client, 403, "class_not_allowed", "'later'");
  for (const char* value : {"soon", "0", "-5", "1.5", "99999999999999999999"}) {
    ExpectRefusal(WithHeader("X-Deadline-Ms", value), 400, "invalid_deadline",
                  value);
  }
  auto long_key_request = Service("POST", "/close", std::string(300, 'k'));
  ExpectRefusal(long_key_request, 400, "invalid_idempotency_key",
                "Idempotency-Key");
}

// Guards against a body that crashes the node or is forwarded when it is not a
// valid completion request.
TEST_F(ClientInputTest, InvalidBodyIsNamedInTheRefusal) {
  ExpectRefusal(WithBody(""), 400, "malformed_json", "JSON");
  ExpectRefusal(WithBody("{\"model\":"), 400, "malformed_json", "JSON");
  ExpectRefusal(WithBody("[1]"), 400, "malformed_json", "object");
  ExpectRefusal(WithBody("{\"model\":\"m\",\"messages\":[\"\xff\xfe\"]}"), 400,
                "malformed_json", "UTF-8");
  ExpectRefusal(WithBody(std::string(100000, '[')), 400, "malformed_json",
                "nested");
  ExpectRefusal(WithBody("{}"), 400, "invalid_model", "'model'");
  ExpectRefusal(WithBody(R"({"model":7})"), 400, "invalid_model", "'model'");
  ExpectRefusal(WithBody(R"({"model":"m","stream":"yes","messages":[]})"), 400,
                "invalid_stream", "'stream'");
  ExpectRefusal(WithBody(R"({"model":"m"})"), 400, "invalid_prompt",
                "'messages'");
  ExpectRefusal(WithBody(R"({"model":"nope","messages":[]})"), 404,
                "unknown_model", "'nope'");
  ExpectRefusal(WithBody(R"({"model":"m:nope","messages":[]})"), 404,
                "unknown_model", "'m:nope'");
}

// Guards against an unknown path, method or service that is forwarded.
TEST_F(ClientInputTest, InvalidTargetIsNamedInTheRefusal) {
  auto request = Chat(false);
  request.target = "/v2/chat";
  ExpectRefusal(request, 404, "unknown_path", "/v2/chat");
  request.target = "/v1/chat/completions";
  request.method = "GET";
  ExpectRefusal(request, 405, "method_not_allowed", "'GET'");
  request.target = "/services/nope/x";
  ExpectRefusal(request, 404, "unknown_service", "'nope'");
}

// Guards against requests that a node accepts before it has a configuration.
TEST_F(ClientInputTest, RequestWithoutAConfigurationIsRefused) {
  node_->estate.estate = std::make_shared<Estate>();
  ExpectRefusal(Chat(true), 503, "not_configured", "configuration");
}

// Guards against a body above the limit that is read into memory.
TEST_F(ClientInputTest, OversizedBodyIsRefused) {
  ExpectRefusal(WithBody(std::string(9 * 1024 * 1024, ' ')), 413,
                "malformed_request", "8388608");
}

// Guards against headers above the limit that are read into memory.
TEST_F(ClientInputTest, OversizedHeaderIsRefused) {
  ExpectRefusal(WithHeader("X-Long", std::string(20000, 'x')), 431,
                "malformed_request", "16384");
}

// Guards against a client that holds a connection by sending part of a request.
TEST_F(ClientInputTest, SlowClientGets408AndIsDisconnected) {
  HttpServerLimits limits;
  limits.read_timeout = 50ms;
  HttpServer server(Runtime::Get().io(), limits,
                    [](const HttpRequest&, HttpResponder&) {});
  const auto address = server.Listen({"127.0.0.1", 0}).value();
  asio::ip::tcp::socket socket(Runtime::Get().io());
  socket.connect({asio::ip::make_address(address.ip), address.port});
  socket.send(asio::buffer(std::string("POST /v1/chat/comp")));
  std::string text;
  while (true) {
    char buf[1024];
    const auto read = AwaitIo(
        [&](auto done) { socket.async_read_some(asio::buffer(buf), done); });
    if (read.ec) {
      break;
    }
    text.append(buf, read.bytes_transferred);
  }
  EXPECT_TRUE(text.starts_with("HTTP/1.1 408")) << text;
  EXPECT_NE(text.find("not_run"), std::string::npos);
}

}  // namespace
}  // namespace tanagerloom
