// Mutates good settings and configuration files at random: each result is
// accepted or refused with a message, and never ends the program.
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

void CheckProblems(const std::vector<ConfigProblem>& problems) {
  for (const auto& it : problems) {
    RC_ASSERT(!it.where.empty());
    RC_ASSERT(!it.what.empty());
  }
}

RC_GTEST_PROP(ConfigMutation, SettingsAreAcceptedOrRefused, ()) {
  const json good = {{"node_id", "n"},
                     {"data_centre", "d"},
                     {"caller_listen", "127.0.0.1:0"},
                     {"peer_listen", "127.0.0.1:0"},
                     {"admin_listen", "127.0.0.1:0"},
                     {"platform", "127.0.0.1:1"},
                     {"peer_keys", {"secret-key"}},
                     {"peer_timeout_ms", 1000}};
  for (int i = 0; i < kMutationsPerCase; ++i) {
    const auto out = ParseSettings(Mutated(good));
    CheckProblems(out.problems);
    if (out.problems.empty()) {
      RC_ASSERT(!out.settings.node_id.empty());
      RC_ASSERT(out.settings.platform_address.port > 0);
    }
  }
}

void CheckMutatedFiles() {
  const auto shared = ParseOperatorFile(Mutated(samples::EstateFile()));
  const auto offers = ParseOperatorFile(Mutated(samples::Offers("north")));
  CheckProblems(shared.problems);
  CheckProblems(offers.problems);
  if (!shared.problems.empty() || !offers.problems.empty()) {
    return;
  }
  const std::vector<const OperatorFile*> files{&shared.file, &offers.file};
  const auto built = BuildEstate(1, files);
  CheckProblems(built.problems);
  if (built.problems.empty()) {
    for (const auto& it : built.estate.models) {
      RC_ASSERT(it.second.memory_mb > 0U);
      RC_ASSERT(built.estate.pools.contains(it.second.pool));
    }
  }
}

RC_GTEST_PROP(ConfigMutation, FilesAreAcceptedOrRefused, ()) {
  for (int i = 0; i < kMutationsPerCase; ++i) {
    CheckMutatedFiles();
  }
}

}  // namespace
}  // namespace tanagerloom
