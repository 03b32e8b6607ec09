// Tests that the published examples, JSON Schemas and table of settings agree
// with the parsers.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <set>

#include "config/estate_builder.h"
#include "config/settings.h"

namespace tanagerloom {
namespace {

using nlohmann::json;

const std::filesystem::path kRoot = TANAGERLOOM_SOURCE_DIR;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path);
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Returns the keys that the problem "unknown key; allowed: a, b" at `where`
/// lists. Expects the unknown key to be "zz".
std::set<std::string> AllowedKeys(const std::vector<ConfigProblem>& problems,
                                  const std::string& where) {
  std::set<std::string> out;
  for (const auto& it : problems) {
    const auto start = it.what.find("allowed: ");
    if (it.where != where + "/zz" || start == std::string::npos) {
      continue;
    }
    std::stringstream list(it.what.substr(start + 9));
    for (std::string key; std::getline(list, key, ',');) {
      out.insert(key.substr(key.find_first_not_of(' ')));
    }
  }
  return out;
}

/// Returns the names of the properties that a schema defines.
std::set<std::string> SchemaKeys(const json& schema) {
  std::set<std::string> out;
  for (const auto& it : schema.at("properties").items()) {
    out.insert(it.key());
  }
  return out;
}

// Guards against a setting that the schema or the table of settings lacks, and
// against a schema whose range differs from the one that is checked.
TEST(ConfigDocs, SettingsMatchTheSchema) {
  const auto schema =
      json::parse(ReadFile(kRoot / "docs/schema/settings.schema.json"));
  const auto keys = SchemaKeys(schema);
  EXPECT_EQ(keys, AllowedKeys(ParseSettings("{\"zz\": 0}").problems, ""));
  const auto table = ReadFile(kRoot / "docs/settings.md");
  for (const auto& it : keys) {
    EXPECT_NE(table.find("| `" + it + "` |"), std::string::npos) << it;
  }
  // Each error message states the range that the schema gives.
  for (const auto& it : schema["properties"].items()) {
    if (!it.value().contains("minimum")) {
      continue;
    }
    const json settings = {{it.key(), -1}};
    const auto range = "from " + it.value()["minimum"].dump() + " to " +
                       it.value()["maximum"].dump();
    EXPECT_NE(ToText(ParseSettings(settings.dump()).problems).find(range),
              std::string::npos)
        << it.key();
  }
}

// Guards against a schema of configuration files whose keys differ from those
// that the parser accepts.
TEST(ConfigDocs, OperatorFilesMatchTheSchema) {
  const auto schema =
      json::parse(ReadFile(kRoot / "docs/schema/operator-file.schema.json"));
  const auto& defs = schema["$defs"];
  const auto operator_file = ParseOperatorFile(R"({"operator": "a", "zz": 0,
      "models": {"m": {"zz": 0, "adapters": {"x": {"zz": 0}}}},
      "services": {"s": {"zz": 0, "rules": [{"zz": 0}]}},
      "callers": {"c": {"zz": 0}}})");
  const auto estate_file = ParseOperatorFile(R"({"operator": "estate", "zz": 0,
      "pools": {"p": {"zz": 0}}, "classes": {"c": {"zz": 0}},
      "weight_store": {"zz": 0}, "operators": {"o": {"zz": 0}}})");
  const std::pair<const char*, const char*> operator_paths[] = {
      {"offers", ""},
      {"model", "/models/m"},
      {"adapter", "/models/m/adapters/x"},
      {"service", "/services/s"},
      {"rule", "/services/s/rules/0"},
      {"caller", "/callers/c"}};
  for (const auto& it : operator_paths) {
    EXPECT_EQ(SchemaKeys(defs[it.first]),
              AllowedKeys(operator_file.problems, it.second))
        << it.first;
  }
  const std::pair<const char*, const char*> estate_paths[] = {
      {"estate", ""},
      {"pool", "/pools/p"},
      {"class", "/classes/c"},
      {"grant", "/operators/o"}};
  for (const auto& it : estate_paths) {
    EXPECT_EQ(SchemaKeys(defs[it.first]),
              AllowedKeys(estate_file.problems, it.second))
        << it.first;
  }
  EXPECT_EQ(SchemaKeys(defs["estate"]["properties"]["weight_store"]),
            AllowedKeys(estate_file.problems, "/weight_store"));
}

/// Builds the estate from the example configuration files of a site.
EstateOutcome BuildExample(const std::string& site) {
  std::vector<OperatorFile> files;
  for (const auto& it :
       std::filesystem::directory_iterator(kRoot / "examples" / site)) {
    if (it.path().filename() != "settings.json") {
      auto parsed = ParseOperatorFile(ReadFile(it.path()));
      EXPECT_TRUE(parsed.problems.empty()) << ToText(parsed.problems);
      files.push_back(std::move(parsed.file));
    }
  }
  std::vector<const OperatorFile*> views;
  for (const auto& it : files) {
    views.push_back(&it);
  }
  return BuildEstate(1, views);
}

// Guards against example files that are no longer valid, or whose numbers of
// models, adapters and engines differ from those of the site.
TEST(ConfigDocs, ExamplesAreValidAndHaveTheSizesOfTheSites) {
  const std::tuple<std::string, std::size_t, std::size_t> sites[] = {
      {"ramdeen", 65, 77}, {"cliffline", 70, 64}};
  for (const auto& [site, models, adapters] : sites) {
    const auto settings =
        ParseSettings(ReadFile(kRoot / "examples" / site / "settings.json"));
    EXPECT_TRUE(settings.problems.empty()) << ToText(settings.problems);
    const auto out = BuildExample(site);
    EXPECT_TRUE(out.problems.empty()) << ToText(out.problems);
    EXPECT_EQ(out.estate.models.size(), models);
    std::size_t n = 0;
    for (const auto& it : out.estate.models) {
      n += it.second.adapters.size();
    }
    EXPECT_EQ(n, adapters);
    std::multiset<std::uint32_t> pool_sizes;
    for (const auto& it : out.estate.pools) {
      pool_sizes.insert(it.second.engine_count);
    }
    EXPECT_EQ(pool_sizes, (std::multiset<std::uint32_t>{3, 12}));
    EXPECT_TRUE(out.estate.IsOperatorToken("estate", "example-token-estate"));
  }
}

}  // namespace
}  // namespace tanagerloom
