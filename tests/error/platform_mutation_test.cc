// Tests of the platform adapter with mutated input of the object store, of
// engines and of clients. Guards against input that crashes it instead of
// giving an error.
#include <gtest/gtest.h>

#include <random>

#include "platform/config_decoder.h"
#include "platform/entry_decoder.h"
#include "platform/header_protocol.h"
#include "platform/settings_decoder.h"

namespace tanagerloom {
namespace {

constexpr int kMutations = 4000;

constexpr char kEndpoint[] =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","slots":64,
        "state":"ready","coldLeftMs":10,"born":1700000000000,"seq":4,
        "models":[{"name":"m","version":1,"adapters":["a3"]}],
        "available":{"inMemory":["m"],"onDisk":["m","n"]}})";
constexpr char kConfig[] =
    R"({"version":7,"routes":[{"host":"h","pathPrefix":"/a/","timeoutMs":17,
        "kind":"streaming","service":"s1","maxAttempts":1,"resumable":false,
        "trafficSplit":[{"service":"s1","weight":90}]}],
        "services":[{"name":"s1","engine":{"slots":64,"weightsMb":2e5,
          "models":[{"name":"m","weightsMb":65500.0,"loadS":6.0}]}}],
        "limits":{"maxBodyBytes":4194304}})";
constexpr char kSettings[] =
    R"({"nodeName":"n","ip":"10.1.0.38","zone":"z","portRange":[7380,7395],
        "listen":{"front":"10.1.0.38:1","readyAddr":"10.1.0.38:2"},
        "bounds":{"graceS":8},"platform":{"address":"10.200.1.7:3"}})";

// Replaces, removes or duplicates bytes of `text` at random. Replacements are
// JSON values and fragments.
std::string Mutate(std::string text, std::mt19937& random) {
  static const std::vector<std::string> words = {
      "null", "-1",  "1e999", "[]",   "{}", "\"\"", "99999999999999999999",
      "\xff", "\\u", ":",     "true", "\"", "[[[[", "0.5"};
  for (unsigned i = random() % 4 + 1; i > 0; --i) {
    const auto at = random() % (text.size() + 1);
    const auto n = random() % 6;
    switch (random() % 3) {
      case 0:
        text.replace(at, n, words[random() % words.size()]);
        break;
      case 1:
        text.erase(at, n);
        break;
      default:
        text.insert(at, text.substr(at, n));
        break;
    }
  }
  return text;
}

// Guards against a node that crashes because another program wrote an invalid
// entry, and against accepting an endpoint without slots or a port.
TEST(PlatformMutation, EntriesAndSettingsFailOnlyByErrors) {
  std::mt19937 random(11);
  int usable = 0;
  for (int i = 0; i < kMutations; ++i) {
    const auto record =
        platform::DecodeEndpoint({"i", Mutate(kEndpoint, random), 1});
    if (record) {
      ++usable;
      EXPECT_GT(record.assume_value().slots, 0U);
      EXPECT_GT(record.assume_value().address.port, 0);
    }
    (void)platform::DecodeConfig(Mutate(kConfig, random));
    (void)platform::DecodeSettings(Mutate(kSettings, random));
  }
  EXPECT_GT(usable, 0);
  EXPECT_LT(usable, kMutations);
}

// Guards against a client header that crashes the node or is read beyond its
// end.
TEST(PlatformMutation, HeadersAreReadWithoutACrash) {
  const platform::HeaderProtocol protocol;
  std::mt19937 random(12);
  for (int i = 0; i < kMutations; ++i) {
    HttpRequest request;
    request.headers = {
        {"Attempt-Id", Mutate("9c41", random)},
        {"Deadline-Ms", Mutate("6000", random)},
        {"Model", Mutate("m/a3", random)},
        {"Token-Count", Mutate("1460,80", random)},
        {"Prompt-Prefix", Mutate("5c:800,91:410,e4:250", random)},
        {"Connection", Mutate("close, X-Hop", random)}};
    const auto profile = protocol.ReadRequest(request);
    EXPECT_LE(profile.prompt.size(), 64U);
    (void)protocol.MakeAttempt(request, {});
  }
}

}  // namespace
}  // namespace tanagerloom
