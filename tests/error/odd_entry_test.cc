// Tests of entries that another writer left among those of the endpoints. They
// guard against a node that ends because of one, or that no longer follows the
// list.
#include <gtest/gtest.h>

#include "platform/entry_decoder.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

using testing_support::WaitUntil;

constexpr std::size_t kNesting = 200000;

const std::string kGoodEntry =
    R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,)"
    R"("state":"ready","coldLeftMs":0,"born":1700000000000,"seq":1})";

std::string DeepList() {
  return std::string(kNesting, '[') + std::string(kNesting, ']');
}

std::string DeepObject() {
  std::string out;
  for (std::size_t i = 0; i < kNesting; ++i) {
    out += R"({"models":)";
  }
  return out + "1" + std::string(kNesting, '}');
}

// Guards against a process that ends, or a list that is no longer read, because
// of one deeply nested entry.
TEST(OddEntry, DeeplyNestedEntryLeavesTheOthersReadable) {
  const std::string good =
      R"({"metadata":{"name":"i-good","revision":3},"spec":)" + kGoodEntry +
      "}";
  for (const auto& odd :
       {R"({"metadata":{"name":"i-odd","revision":2},"spec":)" + DeepList() +
            "}",
        R"({"metadata":{"name":"i-odd","revision":2},"spec":)" + DeepObject() +
            "}",
        R"({"metadata":)" + DeepObject() + R"(,"spec":{}})", DeepList(),
        std::string(kNesting, '[')}) {
    const auto body = R"({"items":[)" + odd + "," + good +
                      R"(],"morePages":false,"currentRev":5})";
    auto& store = *new RawEndpoint(
        {"store", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body, ""});
    HttpClient http(Runtime::Get().io());
    SteadyClock clock;
    platform::StoreClient client(http, clock, {"127.0.0.1", store.port()});
    const auto list = client.ReadAll("servers", Freshness::kCurrent);
    if (odd.back() == '[') {
      EXPECT_FALSE(list);  // The text as a whole is not JSON.
      continue;
    }
    ASSERT_TRUE(list) << odd.substr(0, 60);
    int usable = 0;
    for (const auto& it : list.assume_value().items) {
      usable += platform::DecodeEndpoint(it) ? 1 : 0;
    }
    EXPECT_EQ(usable, 1) << odd.substr(0, 60);
  }
}

// Guards against a field out of range that is taken for a value.
TEST(OddEntry, FieldOutOfRangeNamesNoEndpoint) {
  ASSERT_TRUE(platform::DecodeEndpoint({"i", kGoodEntry, 1}));
  const std::pair<std::string, std::string> replacements[] = {
      {"127.0.0.1:80", "127.0.0.1:65536"},
      {"127.0.0.1:80", "127.0.0.1:0"},
      {"127.0.0.1:80", "127.0.0.1:-1"},
      {"127.0.0.1:80", "127.0.0.1:80x"},
      {R"("slots":8)", R"("slots":18446744073709551615)"},
      {R"("slots":8)", R"("slots":1e300)"},
      {R"("coldLeftMs":0)", R"("coldLeftMs":1e300)"},
      {R"("coldLeftMs":0)", R"("coldLeftMs":1e19)"},
      {R"("born":1700000000000)", R"("born":1e300)"},
      {R"("born":1700000000000)", R"("born":18446744073709551615)"},
      {R"("seq":1)", R"("seq":1e300)"},
      {R"("seq":1)", R"("seq":-1)"},
      {R"("seq":1)", R"("seq":18446744073709551615)"},
      {R"("seq":1)", R"("seq":1e999)"}};
  for (const auto& [text, replacement] : replacements) {
    auto entry = kGoodEntry;
    entry.replace(entry.find(text), text.size(), replacement);
    EXPECT_FALSE(platform::DecodeEndpoint({"i", entry, 1})) << entry;
  }
}

// Guards against an odd entry under the id of an endpoint after which the
// endpoint's own entries are ignored.
TEST(OddEntry, EndpointIsUsedAgainAfterAnOddEntryUnderItsId) {
  auto& site = *new ForwardingSite();
  site.Start();
  for (const char* field : {"born", "seq", "coldLeftMs"}) {
    auto odd = site.store.Spec("servers", "i-a");
    odd[field] = 1e300;
    site.store.Set("servers", "i-a", odd);
    ASSERT_TRUE(WaitUntil([&] {
      return site.view.directory().Find("i-a") == nullptr;
    })) << field;
    site.a.Register();
    ASSERT_TRUE(WaitUntil([&] {
      return site.view.directory().Find("i-a") != nullptr;
    })) << field;
  }
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

}  // namespace
}  // namespace tanagerloom
