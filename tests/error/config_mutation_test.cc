// Mutates valid settings and configuration files at random. Guards against
// input that crashes the parser, is refused without a message or is accepted
// although it is unusable.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "config/estate_builder.h"
#include "config/settings.h"
#include "tests/fakes/config_samples.h"

namespace tanagerloom {
namespace {

using nlohmann::json;

constexpr int kMutationsPerCase = 20;

const std::vector<json>& Fragments() {
  static const std::vector<json> fragments = {
      nullptr,
      true,
      -1,
      0,
      1e300,
      18446744073709551615ULL,
      0.5,
      "",
      "a/b",
      "\n",
      "\u00e9",
      json::array(),
      json::object(),
      json::array({json::array({json::array()})}),
      json::object({{"", 1}}),
      std::string(5000, 'x')};
  return fragments;
}

// Returns a random value within `root`, or `root` itself.
json* RandomNode(json& root) {
  json* node = &root;
  while (node->is_structured() && !node->empty() &&
         *rc::gen::inRange(0, 4) != 0) {
    auto it = node->begin();
    std::advance(it, *rc::gen::inRange<std::size_t>(0, node->size()));
    node = &*it;
  }
  return node;
}

// Replaces a random value, adds an entry to it or erases its first entry.
void MutateValue(json& root) {
  json* node = RandomNode(root);
  switch (*rc::gen::inRange(0, 3)) {
    case 0:
      *node = *rc::gen::elementOf(Fragments());
      return;
    case 1:
      if (node->is_object()) {
        (*node)[*rc::gen::string<std::string>()] =
            *rc::gen::elementOf(Fragments());
      }
      return;
    default:
      if (node->is_structured() && !node->empty()) {
        node->erase(node->begin());
      }
  }
}

// Returns the text of `value` with up to three mutated values and up to three
// mutated bytes.
std::string Mutated(json value) {
  const int values = *rc::gen::inRange(0, 4);
  for (int i = 0; i < values; ++i) {
    MutateValue(value);
  }
  auto text = value.dump(1, ' ', false, json::error_handler_t::replace);
  const int bytes = *rc::gen::inRange(0, 4);
  for (int i = 0; i < bytes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto repeat = *rc::gen::element<std::size_t>(0, 1, 2, 500);
    text.replace(at, 1, std::string(repeat, *rc::gen::character<char>()));
  }
  return text;
}

// Asserts that each problem states where and what it is.
void CheckProblems(const std::vector<ConfigProblem>& problems) {
  for (const auto& it : problems) {
    RC_ASSERT(!it.where.empty());
    RC_ASSERT(!it.what.empty());
  }
}

// Guards against settings that are accepted without a node ID or platform port.
RC_GTEST_PROP(ConfigMutation, SettingsAreAcceptedOrRefused, ()) {
  const json valid = {{"node_id", "n"},
                      {"data_centre", "d"},
                      {"caller_listen", "127.0.0.1:0"},
                      {"peer_listen", "127.0.0.1:0"},
                      {"admin_listen", "127.0.0.1:0"},
                      {"platform", "127.0.0.1:1"},
                      {"peer_keys", {"secret-key"}},
                      {"peer_timeout_ms", 1000}};
  for (int i = 0; i < kMutationsPerCase; ++i) {
    const auto out = ParseSettings(Mutated(valid));
    CheckProblems(out.problems);
    if (out.problems.empty()) {
      RC_ASSERT(!out.settings.node_id.empty());
      RC_ASSERT(out.settings.platform_address.port > 0);
    }
  }
}

// Builds an estate from two mutated files and checks it if it is accepted.
void CheckMutatedOperatorFiles() {
  const auto shared_file = ParseOperatorFile(Mutated(samples::EstateFile()));
  const auto operator_file =
      ParseOperatorFile(Mutated(samples::Offers("north")));
  CheckProblems(shared_file.problems);
  CheckProblems(operator_file.problems);
  if (!shared_file.problems.empty() || !operator_file.problems.empty()) {
    return;
  }
  const std::vector<const OperatorFile*> files{&shared_file.file,
                                               &operator_file.file};
  const auto built = BuildEstate(1, files);
  CheckProblems(built.problems);
  if (built.problems.empty()) {
    for (const auto& it : built.estate.models) {
      RC_ASSERT(it.second.memory_mb > 0U);
      RC_ASSERT(built.estate.pools.contains(it.second.pool));
    }
  }
}

// Guards against an estate that has a model without memory or in no pool.
RC_GTEST_PROP(ConfigMutation, OperatorFilesAreAcceptedOrRefused, ()) {
  for (int i = 0; i < kMutationsPerCase; ++i) {
    CheckMutatedOperatorFiles();
  }
}

}  // namespace
}  // namespace tanagerloom
