// Tests of reading large JSON part by part and of decoding a configuration with
// the parts of the previous version.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

#include "platform/config_decoder.h"
#include "platform/json_scanner.h"

namespace tanagerloom {
namespace {

using platform::VisitElements;
using platform::VisitMembers;

Result<std::vector<std::string>> Elements(const std::string& text) {
  std::vector<std::string> out;
  BOOST_OUTCOME_TRYV(VisitElements(
      text,
      [&](std::string_view value) -> Result<void> {
        out.emplace_back(value);
        return BOOST_OUTCOME_V2_NAMESPACE::success();
      },
      NoCheckpoint()));
  return out;
}

Result<std::map<std::string, std::string>> Members(const std::string& text) {
  std::map<std::string, std::string> out;
  BOOST_OUTCOME_TRYV(VisitMembers(
      text,
      [&](std::string_view name, std::string_view value) -> Result<void> {
        out[std::string(name)] = value;
        return BOOST_OUTCOME_V2_NAMESPACE::success();
      },
      NoCheckpoint()));
  return out;
}

// Guards against a part that ends at a bracket or quote inside a string.
TEST(JsonScanner, PartsEndWhereTheirValuesEnd) {
  const auto members =
      Members(R"( {"a" : {"x":"}]\"{"} , "b":[1,[2]],"c":-1.5e3,"d":"\\"} )");
  ASSERT_TRUE(members);
  EXPECT_EQ(members.assume_value().at("a"), R"({"x":"}]\"{"})");
  EXPECT_EQ(members.assume_value().at("b"), "[1,[2]]");
  EXPECT_EQ(members.assume_value().at("c"), "-1.5e3");
  EXPECT_EQ(members.assume_value().at("d"), R"("\\")");
  EXPECT_TRUE(Elements("[]").assume_value().empty());
  EXPECT_TRUE(Members("{}").assume_value().empty());
}

// Guards against reading past the end of text that is cut off, and against text
// that is taken for a whole value.
TEST(JsonScanner, MalformedTextIsRefused) {
  for (const auto* it :
       {"", "{", "[", "[1", "[1,", "[1,]", "[1]x", "[\"a", "[\"a\\", "{\"a\"",
        "{\"a\":", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":{}", "1"}) {
    EXPECT_FALSE(Elements(it)) << it;
    EXPECT_FALSE(Members(it)) << it;
  }
}

// Guards against scanning that differs from a full parser on any valid text.
TEST(JsonScanner, AgreesWithAFullParser) {
  rc::check("elements and members are those of a full parser", [] {
    const auto texts = *rc::gen::arbitrary<std::vector<std::string>>();
    const auto numbers = *rc::gen::arbitrary<std::vector<int>>();
    nlohmann::json array = nlohmann::json::array();
    nlohmann::json object = nlohmann::json::object();
    for (const auto& it : texts) {
      const auto text = nlohmann::json(it).dump(
          -1, ' ', true, nlohmann::json::error_handler_t::replace);
      array.push_back({{"t", nlohmann::json::parse(text)}, {"n", numbers}});
      object["k" + std::to_string(object.size())] = array.back();
    }
    for (const int indent : {-1, 2}) {
      const auto elements = Elements(array.dump(indent));
      RC_ASSERT(static_cast<bool>(elements));
      RC_ASSERT(elements.assume_value().size() == array.size());
      for (std::size_t i = 0; i < array.size(); ++i) {
        RC_ASSERT(nlohmann::json::parse(elements.assume_value()[i]) ==
                  array[i]);
      }
      const auto members = Members(object.dump(indent));
      RC_ASSERT(static_cast<bool>(members));
      for (const auto& [name, value] : members.assume_value()) {
        RC_ASSERT(nlohmann::json::parse(value) == object[name]);
      }
    }
  });
}

nlohmann::json RouteJson(int number) {
  return {{"name", "r" + std::to_string(number)},
          {"host", "h.example"},
          {"pathPrefix", "/p" + std::to_string(number) + "/"},
          {"kind", "idempotent"},
          {"timeoutMs", 1000},
          {"service", "s"}};
}

nlohmann::json ConfigJson(int version, int route_count) {
  nlohmann::json out{{"version", version},
                     {"routes", nlohmann::json::array()},
                     {"services", {{{"name", "s"}, {"maxConns", 3}}}}};
  for (int i = 0; i < route_count; ++i) {
    out["routes"].push_back(RouteJson(i));
  }
  return out;
}

FleetConfig Decode(const nlohmann::json& json, const FleetConfig* previous) {
  return platform::DecodeConfig(
             std::make_shared<const std::string>(json.dump()), previous,
             NoCheckpoint())
      .value();
}

// Returns how many routes of `config` are not taken over from `previous`.
std::size_t DecodedRoutes(const FleetConfig& previous,
                          const FleetConfig& config) {
  return static_cast<std::size_t>(
      std::ranges::count_if(config.routes, [&](const ConfigPart<Route>& it) {
        return std::ranges::none_of(previous.routes,
                                    [&](const ConfigPart<Route>& known) {
                                      return known.value == it.value;
                                    });
      }));
}

// Guards against a version that costs as much as the first one although it
// changes one of many routes: a large configuration then slows every node.
TEST(ConfigDecoder, OnlyChangedRoutesAreDecoded) {
  auto json = ConfigJson(1, 500);
  const auto first = Decode(json, nullptr);
  json["version"] = 2;
  json["routes"][250]["timeoutMs"] = 7;
  const auto changed = Decode(json, &first);
  EXPECT_EQ(DecodedRoutes(first, changed), 1U);
  EXPECT_EQ(changed.routes[250].value->timeout, std::chrono::milliseconds(7));
  EXPECT_EQ(changed.services[0].value, first.services[0].value);

  json["routes"].erase(0);
  json["routes"].push_back(RouteJson(900));
  std::reverse(json["routes"].begin(), json["routes"].end());
  const auto reordered = Decode(json, &changed);
  EXPECT_EQ(DecodedRoutes(changed, reordered), 1U);
  ASSERT_EQ(reordered.routes.size(), 500U);
  for (std::size_t i = 0; i < 500; ++i) {
    EXPECT_EQ(reordered.routes[i].value->name, json["routes"][i]["name"]);
  }
}

// Guards against a version that holds parts of the previous one by their text
// and reads freed memory once that version is gone.
TEST(ConfigDecoder, VersionOutlivesThePreviousOne) {
  auto first =
      std::make_unique<FleetConfig>(Decode(ConfigJson(1, 50), nullptr));
  auto second =
      std::make_unique<FleetConfig>(Decode(ConfigJson(2, 50), &*first));
  first.reset();
  const auto third = Decode(ConfigJson(3, 51), &*second);
  second.reset();
  EXPECT_EQ(third.routes[49].value->name, "r49");
  EXPECT_EQ(nlohmann::json::parse(third.routes[50].source), RouteJson(50));
}

// Guards against a long computation without checkpoints, during which no other
// request of the node is served.
TEST(ConfigDecoder, CheckpointsAreFrequent) {
  const auto text =
      std::make_shared<const std::string>(ConfigJson(1, 5000).dump());
  std::size_t checkpoints = 0;
  const Checkpoint count = [&checkpoints] { ++checkpoints; };
  const auto first = platform::DecodeConfig(text, nullptr, count).value();
  EXPECT_GE(checkpoints, 5000U);
  checkpoints = 0;
  (void)platform::DecodeConfig(text, &first, count).value();
  EXPECT_GE(checkpoints, text->size() / platform::kScanStepBytes);
}

// Guards against a malformed part that is hidden by the rest of the text.
TEST(ConfigDecoder, OneMalformedRouteRefusesTheVersion) {
  const auto first = Decode(ConfigJson(1, 3), nullptr);
  auto text = ConfigJson(2, 3).dump();
  text.replace(text.find("\"r1\""), 4, "\"r1]");
  EXPECT_FALSE(platform::DecodeConfig(std::make_shared<const std::string>(text),
                                      &first, NoCheckpoint()));
}

}  // namespace
}  // namespace tanagerloom
