// Defines CtlContext, what the commands of tanagerctl share.
#ifndef CTL_CTL_CONTEXT_H_
#define CTL_CTL_CONTEXT_H_

#include <docopt/docopt.h>

#include <map>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/exit_status.h"
#include "ctl/node_client.h"

namespace tanagerloom {

/// The parsed command line and where output goes.
struct CtlContext {
  const std::map<std::string, docopt::value>& args;
  HttpClient& http;
  std::ostream& out;
  std::ostream& err;

  /// The first text of an option or argument; empty if it was not given.
  std::string Option(const std::string& name) const;
  /// All texts of an option or argument.
  std::vector<std::string> Options(const std::string& name) const;
  bool Flag(const std::string& name) const;

  /// The client of the first --node.
  CtlResult<NodeClient> Node() const;

  /// Writes the failure and returns its status.
  ExitStatus Fail(const CtlFailure& failure) const;
  /// Writes a value as indented JSON.
  void Print(const nlohmann::json& value) const;
};

/// "IP:PORT" of an option.
CtlResult<Address> ParseNodeAddress(const std::string& text);

/// The whole file.
CtlResult<std::string> ReadTextFile(const std::string& path);

/// Milliseconds since the Unix epoch as UTC, "2026-01-31T12:00:00.000Z".
std::string FormatUtc(std::uint64_t at_ms);

ExitStatus RunApply(const CtlContext& ctl);
ExitStatus RunValidate(const CtlContext& ctl);
ExitStatus RunShow(const CtlContext& ctl);
ExitStatus RunDiff(const CtlContext& ctl);
ExitStatus RunHistory(const CtlContext& ctl);
ExitStatus RunStatus(const CtlContext& ctl);
ExitStatus RunDrain(const CtlContext& ctl);
ExitStatus RunTimeline(const CtlContext& ctl);
ExitStatus RunLoad(const CtlContext& ctl);
ExitStatus RunExplain(const CtlContext& ctl);
ExitStatus RunHash(const CtlContext& ctl);

}  // namespace tanagerloom

#endif  // CTL_CTL_CONTEXT_H_
