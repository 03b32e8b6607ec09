// The commands that read and change the configuration.
#include <algorithm>
#include <iostream>
#include <iterator>
#include <memory>

#include "config/digest.h"
#include "config/estate_builder.h"
#include "config/file_diff.h"
#include "config/json_text.h"
#include "config/operator_file.h"
#include "ctl/ctl_context.h"
#include "http/http_message.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr const char* kConfigurationPath = "/operator/configuration";

/// A file's text and its parsed form.
struct LocalFile {
  std::string text;
  OperatorFile file;
};

json ProblemsJson(const std::vector<ConfigProblem>& problems) {
  json out = json::array();
  for (const auto& it : problems) {
    out.push_back({{"where", it.where}, {"what", it.what}});
  }
  return out;
}

CtlResult<LocalFile> ReadLocalFile(const std::string& path) {
  BOOST_OUTCOME_TRY(text, ReadTextFile(path));
  auto parsed = ParseOperatorFile(text);
  if (!parsed.problems.empty()) {
    return CtlFailure{ExitStatus::kRefused,
                      path + " is not valid:\n" + ToText(parsed.problems)};
  }
  return LocalFile{std::move(text), std::move(parsed.file)};
}

std::string ConfigurationTarget(const OperatorFile& file) {
  return std::string(kConfigurationPath) + "/" +
         PercentEncode(file.operator_name);
}

/// Returns NAME=VALUE with the value escaped. PercentEncode keeps '/', which is
/// valid in a query.
std::string QueryParameter(const std::string& name, const std::string& value) {
  return name + "=" + PercentEncode(value);
}

CtlResult<json> Apply(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(node, ctl.FirstNode());
  BOOST_OUTCOME_TRY(local, ReadLocalFile(ctl.Option("FILE")));
  auto target = ConfigurationTarget(local.file) + "?" +
                QueryParameter("author", ctl.Option("--author"));
  if (!ctl.Option("--expect").empty()) {
    target += "&" + QueryParameter("expect", ctl.Option("--expect"));
  }
  return node.Send("PUT", target, std::move(local.text));
}

json OperatorUse(const json& use, const std::string& name) {
  return use.value(name, json::object());
}

void PrintOperatorUse(std::ostream& out, const json& use) {
  out << "use by operator: replicas held/limit, MB held/limit (granted)\n";
  for (const auto& it : use.items()) {
    const auto row = OperatorUse(use, it.key());
    const auto granted = row.value("reserved_memory_mb", json());
    out << "  " << it.key() << ": " << row.value("replicas_held", 0) << "/"
        << row.value("replicas_limit", 0) << " replicas, "
        << row.value("memory_held_mb", 0) << "/"
        << row.value("memory_limit_mb", 0) << " MB ("
        << (granted.is_null() ? "no limit" : granted.dump()) << ")\n";
  }
}

CtlResult<json> Show(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(node, ctl.FirstNode());
  const auto name = ctl.Option("OPERATOR");
  return node.Get(kConfigurationPath +
                  (name.empty() ? "" : "/" + PercentEncode(name)));
}

void PrintConfiguration(std::ostream& out, const json& value) {
  out << "configuration version " << value.value("version", 0) << "\n";
  const auto files = value.value("files", json::object());
  for (const auto& it : files.items()) {
    const auto& file = it.value();
    const auto author = file.value("author", "");
    out << "  " << it.key() << ": version " << file.value("version", 0)
        << ", applied " << FormatUtc(file.value("at_ms", 0ULL)) << " by "
        << file.value("by", "") << (author.empty() ? "" : " (" + author + ")")
        << "\n";
  }
  PrintOperatorUse(out, value.value("use", json::object()));
}

/// The changes from an operator's file in force to a local one.
struct Difference {
  std::uint64_t version = 0;  ///< Of the file in force; 0 if there is none.
  std::vector<FileChange> changes;
};

CtlResult<Difference> Diff(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(node, ctl.FirstNode());
  BOOST_OUTCOME_TRY(local, ReadLocalFile(ctl.Option("FILE")));
  BOOST_OUTCOME_TRY(all, node.Get(kConfigurationPath));
  Difference out;
  json in_force = json::object();
  if (all.value("files", json::object()).contains(local.file.operator_name)) {
    BOOST_OUTCOME_TRY(remote, node.Get(ConfigurationTarget(local.file)));
    out.version = remote.value("version", std::uint64_t{0});
    in_force = remote.value("file", json::object());
  }
  std::vector<ConfigProblem> ignored;
  out.changes =
      DiffFiles(std::move(in_force), ParseJsonText(local.text, ignored));
  return out;
}

json ChangesJson(const std::vector<FileChange>& changes) {
  json out = json::array();
  for (const auto& it : changes) {
    out.push_back({{"change", it.ToText()},
                   {"section", it.section},
                   {"name", it.name},
                   {"details", it.details}});
  }
  return out;
}

}  // namespace

ExitStatus RunApply(const CtlContext& ctl) {
  const auto answer = Apply(ctl);
  if (!answer) {
    return ctl.ReportFailure(answer.error());
  }
  if (ctl.HasFlag("--json")) {
    ctl.Print(answer.value());
  } else {
    ctl.out << (answer.value().value("changed", true) ? "accepted as version "
                                                      : "unchanged at version ")
            << answer.value().value("version", 0) << "\n";
  }
  return ExitStatus::kDone;
}

ExitStatus RunValidate(const CtlContext& ctl) {
  std::vector<ConfigProblem> problems;
  std::vector<std::unique_ptr<OperatorFile>> files;
  std::vector<const OperatorFile*> views;
  bool has_estate = false;
  for (const auto& path : ctl.Options("FILE")) {
    const auto text = ReadTextFile(path);
    if (!text) {
      return ctl.ReportFailure(text.error());
    }
    auto parsed = ParseOperatorFile(text.value());
    for (auto& it : parsed.problems) {
      problems.push_back({path + " " + it.where, std::move(it.what)});
    }
    has_estate = has_estate || parsed.file.is_estate();
    files.push_back(std::make_unique<OperatorFile>(std::move(parsed.file)));
    views.push_back(files.back().get());
  }
  // The rules between files can only be checked if the estate file is given.
  if (problems.empty() && has_estate) {
    problems = BuildEstate(1, views).problems;
  }
  if (ctl.HasFlag("--json")) {
    ctl.Print({{"valid", problems.empty()},
               {"with_estate", has_estate},
               {"problems", ProblemsJson(problems)}});
  } else if (problems.empty()) {
    ctl.out << (has_estate ? "valid\n"
                           : "valid; rules between files were not checked, "
                             "since the estate file was not given\n");
  } else {
    ctl.err << ToText(problems);
  }
  return problems.empty() ? ExitStatus::kDone : ExitStatus::kRefused;
}

ExitStatus RunShow(const CtlContext& ctl) {
  const auto answer = Show(ctl);
  if (!answer) {
    return ctl.ReportFailure(answer.error());
  }
  if (ctl.HasFlag("--json") || !ctl.Option("OPERATOR").empty()) {
    ctl.Print(answer.value());
  } else {
    PrintConfiguration(ctl.out, answer.value());
  }
  return ExitStatus::kDone;
}

ExitStatus RunDiff(const CtlContext& ctl) {
  const auto diff = Diff(ctl);
  if (!diff) {
    return ctl.ReportFailure(diff.error());
  }
  const auto& value = diff.value();
  if (ctl.HasFlag("--json")) {
    ctl.Print(
        {{"version", value.version}, {"changes", ChangesJson(value.changes)}});
    return ExitStatus::kDone;
  }
  ctl.out << "against version " << value.version << "\n";
  for (const auto& it : value.changes) {
    ctl.out << it.ToText() << "\n";
    for (const auto& detail : it.details) {
      ctl.out << "    " << detail << "\n";
    }
  }
  return ExitStatus::kDone;
}

ExitStatus RunHash(const CtlContext& ctl) {
  std::string secret;
  std::getline(std::cin, secret);
  if (secret.empty()) {
    return ctl.ReportFailure(
        {ExitStatus::kUsage, "no secret on standard input"});
  }
  const auto digest = Sha256Hex(ctl.Option("--salt") + secret);
  if (ctl.HasFlag("--json")) {
    ctl.Print({{"sha256", digest}});
  } else {
    ctl.out << digest << "\n";
  }
  return ExitStatus::kDone;
}

}  // namespace tanagerloom
