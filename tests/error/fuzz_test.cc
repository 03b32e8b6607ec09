// Fuzz targets for what reaches a node from outside: responses of endpoints,
// requests of clients, messages of peers, and the store's objects. Inputs are
// mutated from valid ones. They guard against a node that ends, that grows
// beyond its buffers, or that takes over half of a message. Each target runs
// for TANAGERLOOM_FUZZ_SECONDS; a failure prints the parameters that repeat it.
#include <gtest/gtest.h>

#include <rapidcheck.h>

#include <chrono>
#include <cstdlib>

#include "http/http_connection.h"
#include "membership/envelope.h"
#include "platform/config_decoder.h"
#include "platform/entry_decoder.h"
#include "platform/settings_decoder.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

constexpr int kDefaultSeconds = 5;

// Fragments that stand for the borders of each grammar.
const std::vector<std::string> kFragments = {"",
                                             "\r\n",
                                             "\n\n",
                                             "0\r\n\r\n",
                                             "ffffffffffffffff\r\n",
                                             "[[[[",
                                             "{",
                                             "\"",
                                             "-1",
                                             "1e999",
                                             "18446744073709551616",
                                             "\\u",
                                             "\xff",
                                             "\0\0",
                                             "null",
                                             "id: ",
                                             "data: ",
                                             "]}",
                                             "HTTP/",
                                             "chunked"};

// One edit of a text: bytes removed at a place and others put there.
struct Edit {
  std::size_t at = 0;
  std::size_t removed = 0;
  std::string added;
};

std::string Apply(std::string text, const std::vector<Edit>& edits) {
  for (const auto& it : edits) {
    const auto at = text.empty() ? 0 : it.at % (text.size() + 1);
    text.replace(at, it.removed, it.added);
  }
  return text;
}

rc::Gen<Edit> AnyEdit() {
  constexpr std::size_t kMaxRemoved = 40;
  return rc::gen::construct<Edit>(
      rc::gen::arbitrary<std::size_t>(),
      rc::gen::inRange<std::size_t>(0, kMaxRemoved),
      rc::gen::oneOf(rc::gen::elementOf(kFragments),
                     rc::gen::string<std::string>()));
}

// A valid text with up to four edits.
std::string Mutated(const std::string& valid) {
  const auto n = *rc::gen::inRange<std::size_t>(0, 5);
  return Apply(valid, *rc::gen::container<std::vector<Edit>>(n, AnyEdit()));
}

// Repeats a property with new inputs until the time of a target is over.
template <typename Property>
void Fuzz(const char* name, const Property& property) {
  const char* text = std::getenv("TANAGERLOOM_FUZZ_SECONDS");
  const std::chrono::seconds duration(text == nullptr ? kDefaultSeconds
                                                      : std::atoi(text));
  const auto end = std::chrono::steady_clock::now() + duration;
  do {
    ASSERT_TRUE(rc::check(name, property));
  } while (std::chrono::steady_clock::now() < end);
}

const std::string kEntry =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","slots":64,)"
    R"("state":"ready","coldLeftMs":10,"born":1700000000000,"seq":4,)"
    R"("models":[{"name":"m","version":1,"adapters":["a3"]}],)"
    R"("available":{"inMemory":["m"],"onDisk":["m","n"]}})";
const std::string kConfig =
    R"({"version":7,"routes":[{"host":"h","pathPrefix":"/a/","timeoutMs":17,)"
    R"("kind":"streaming","service":"s1","maxAttempts":1,"resumable":false,)"
    R"("trafficSplit":[{"service":"s1","weight":90}]}],)"
    R"("services":[{"name":"s1","engine":{"slots":64,"weightsMb":2e5,)"
    R"("models":[{"name":"m","weightsMb":65500.0,"loadS":6.0}]}}],)"
    R"("limits":{"maxBodyBytes":4194304}})";
const std::string kSettings =
    R"({"nodeName":"n","ip":"10.1.0.38","zone":"z","portRange":[7380,7395],)"
    R"("listen":{"front":"10.1.0.38:1","readyAddr":"10.1.0.38:2"},)"
    R"("bounds":{"graceS":8},"platform":{"address":"10.200.1.7:3"}})";

TEST(Fuzz, ObjectsOfTheStoreFailOnlyByErrors) {
  Fuzz("objects of the store", [] {
    const auto entry = platform::DecodeEndpoint({"i", Mutated(kEntry), 1});
    if (entry) {
      RC_ASSERT(entry.assume_value().slots > 0U);
      RC_ASSERT(entry.assume_value().address.port > 0);
      RC_ASSERT(entry.assume_value().cold_time_left.count() >= 0);
    }
    (void)platform::DecodeConfig(Mutated(kConfig));
    (void)platform::DecodeSettings(Mutated(kSettings));
  });
}

TEST(Fuzz, MessagesOfPeersAreTakenWholeOrNotAtAll) {
  const std::vector<PeerMessage> messages = {
      CrashNotice{7, 3, 1000, true, {{1, 20}, {2, 5}}},
      EndpointNotice{"i-1", EndpointCondition::kLeaving, 1000, 5},
      EndpointUse{{"i-1", "i-2"}, {1, 2}, {3, 4}},
      LoadedModelsNotice{"i-1", 5, 2, 3, {{"m", {"a1"}}}},
      LoadEstimate{"s", 1, 2, {"m", "n"}, {10, 20}},
      WaitingSummary{1, 2, {"s", {{"m", 1, 2}}, {{"c", 1, 2, 3.5}}}},
      SharedLoads{LoadSharingStage::kToHub, {{77, 3, 150, 20}}},
      ConfigUpdate{7, 0, kConfig}};
  Fuzz("messages of peers", [&] {
    Envelope envelope;
    envelope.sender = "node-1";
    envelope.incarnation = "1";
    envelope.body =
        messages[*rc::gen::inRange<std::size_t>(0, messages.size())];
    const auto decoded = DecodeEnvelope(Mutated(EncodeEnvelope(envelope)));
    if (!decoded) {
      return;
    }
    const auto* message =
        std::get_if<PeerMessage>(&decoded.assume_value().body);
    if (message == nullptr) {
      return;
    }
    if (const auto* use = std::get_if<EndpointUse>(message)) {
      RC_ASSERT(use->in_progress.size() == use->endpoints.size());
      RC_ASSERT(use->prompt_tokens.size() == use->endpoints.size());
    } else if (const auto* load = std::get_if<LoadEstimate>(message)) {
      RC_ASSERT(load->ready_in_ms.size() == load->models.size());
    } else if (const auto* waiting = std::get_if<WaitingSummary>(message)) {
      for (const auto& it : waiting->sum.shares) {
        RC_ASSERT(it.served >= 0);
      }
    } else if (const auto* shared = std::get_if<SharedLoads>(message)) {
      RC_ASSERT(shared->stage <= LoadSharingStage::kToMembers);
    }
  });
}

// Answers of one endpoint, which the other then makes good.
TEST(Fuzz, ResponsesOfEndpointsHurtNoOtherRequest) {
  const std::string valid =
      "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Seal: seal\r\n"
      "Transfer-Encoding: chunked\r\nServer-Leaving: 0\r\n\r\n"
      "15\r\nid: 1\ndata: token 1\n\n\r\n0\r\n\r\n";
  auto& answer = *new std::string(valid);
  auto& site = *new ForwardingSite();
  auto& odd = *new RawEndpoint({"odd", "", "", &answer});
  site.a.advertised_port = odd.port();
  site.Start();
  Fuzz("responses of endpoints", [&] {
    answer = Mutated(valid);
    for (const char* path : {"/read/x", "/stream-once/x"}) {
      (void)site.Send(site.Request(path));
    }
    RC_ASSERT(testing_support::WaitUntil(
        [&] { return site.buffers.used_bytes() == 0U; }));
  });
  // The endpoint may have said that it leaves; the other one serves.
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

TEST(Fuzz, RequestsOfClientsHurtNoOtherClient) {
  auto& site = *new ForwardingSite();
  site.Start();
  const std::string valid =
      "POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
      "Deadline-Ms: 300\r\nModel: m\r\nToken-Count: 10,5\r\n"
      "Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n"
      "Content-Length: 4\r\n\r\nbody";
  Fuzz("requests of clients", [&] {
    const auto text = Mutated(valid);
    boost::asio::ip::tcp::socket socket(Runtime::Get().io());
    const boost::asio::ip::tcp::endpoint node(
        boost::asio::ip::make_address("127.0.0.1"), site.address.port);
    AwaitIo([&](auto done) { socket.async_connect(node, done); });
    AwaitIo([&](auto done) {
      boost::asio::async_write(socket, boost::asio::buffer(text), done);
    });
    boost::system::error_code ec;
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    char buf[1024];
    while (!AwaitIo([&](auto done) {
              socket.async_read_some(boost::asio::buffer(buf), done);
            }).ec) {
    }
    auto request = site.Request("/read/x");
    RC_ASSERT(site.Send(request).assume_value().status == 200);
  });
}

}  // namespace
}  // namespace tanagerloom
