// Tests of endpoints that break off within the head or the body of an answer,
// after any number of its bytes. They guard against a client that gets a
// success with an empty or shortened body.
#include <gtest/gtest.h>

#include "http/http_client.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

constexpr int kOk = 200;

// An answer, and how its endpoint ends the connection within it.
struct CutAnswer {
  const char* name;
  std::string head;
  std::string body;
  bool reset = false;
  /// Whether only the end of the connection ends the body. It is then not known
  /// that a body was cut, unless the connection was reset.
  bool ends_with_connection = false;
};

const std::string kSealedHead =
    "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n";
const std::string kEvents =
    EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2);

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx", text.size());
  return std::string(size) + "\r\n" + text + "\r\n";
}

CutAnswer WithLength(const char* name, bool reset) {
  return {name,
          kSealedHead + "Content-Length: " + std::to_string(kEvents.size()) +
              "\r\n\r\n",
          kEvents, reset};
}

CutAnswer InChunks(const char* name, bool reset) {
  return {name, kSealedHead + "Transfer-Encoding: chunked\r\n\r\n",
          Chunk(kEvents.substr(0, 7)) + Chunk(kEvents.substr(7)) +
              Chunk(std::string()),
          reset};
}

CutAnswer WithoutLength(const char* name, bool reset) {
  return {name, kSealedHead + "Connection: close\r\n\r\n", kEvents, reset,
          /*ends_with_connection=*/true};
}

class CutAnswers : public testing::TestWithParam<CutAnswer> {
 protected:
  // Number of bytes of the answer after which a cut can be noticed.
  std::size_t NoticeableCuts() const {
    const auto& it = GetParam();
    const auto whole = it.head.size() + it.body.size();
    if (!it.ends_with_connection) {
      return whole;
    }
    return it.reset ? whole + 1 : it.head.size();
  }

  std::string sent = GetParam().head + GetParam().body;
  RawEndpoint& endpoint =
      *new RawEndpoint({"", "", "", /*changing_head=*/&sent, GetParam().reset});
};

// Guards against a shortened success on the path of the registered fleet.
TEST_P(CutAnswers, AreNotForwardedAsSuccesses) {
  // Leaked, since its fibers run until the process ends.
  auto& site = *new ForwardingSite();
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  const auto whole = sent;
  for (const char* path :
       {"/book/x", "/read/x", "/stream-once/x", "/stream-on/x"}) {
    for (std::size_t n = 0; n < NoticeableCuts(); ++n) {
      sent = whole.substr(0, n);
      const auto response = site.Send(site.Request(path));
      EXPECT_FALSE(response && response.assume_value().status == kOk)
          << path << ", " << n << " bytes";
    }
    sent = whole;
    if (!GetParam().reset) {
      const auto response = site.Send(site.Request(path));
      ASSERT_TRUE(response) << path;
      EXPECT_EQ(response.assume_value().status, kOk) << path;
      EXPECT_EQ(response.assume_value().body, kEvents) << path;
    }
  }
}

// Guards against the same on the path of models and services, and in answers of
// the object store and of engines.
TEST_P(CutAnswers, FailTheCallOfAClient) {
  HttpClient client(Runtime::Get().io());
  SteadyClock clock;
  const auto whole = sent;
  for (std::size_t n = 0; n < NoticeableCuts(); ++n) {
    sent = whole.substr(0, n);
    const auto response =
        client.Call({"127.0.0.1", endpoint.port()}, {"GET", "/", {}, ""},
                    {.deadline = clock.Now() + std::chrono::seconds(5)});
    EXPECT_FALSE(response) << n << " bytes";
  }
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         CutAnswers,
                         testing::Values(WithLength("LengthClosed", false),
                                         WithLength("LengthReset", true),
                                         InChunks("ChunksClosed", false),
                                         InChunks("ChunksReset", true),
                                         WithoutLength("NoLengthClosed", false),
                                         WithoutLength("NoLengthReset", true)),
                         [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace tanagerloom
