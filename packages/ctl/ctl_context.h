// Defines CtlContext, the options and outputs that the commands of tanagerctl
// share, and declares the commands.
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

/// The parsed command line, the HTTP client and the output streams.
struct CtlContext {
  const std::map<std::string, docopt::value>& args;
  HttpClient& http;
  std::ostream& out;
  std::ostream& err;

  /// Returns the first value of an option or argument; empty if it is not
  /// given.
  std::string Option(const std::string& name) const;
  /// Returns all values of an option or argument.
  std::vector<std::string> Options(const std::string& name) const;
  /// Whether a flag or command is given.
  bool HasFlag(const std::string& name) const;

  /// Returns a client of the first --node. The token is that of --token or, by
  /// default, of the environment. Fails with kUsage if the address is invalid.
  CtlResult<NodeClient> FirstNode() const;

  /// Writes the failure, as JSON to `out` with --json and else as text to
  /// `err`, and returns its status.
  ExitStatus ReportFailure(const CtlFailure& failure) const;
  /// Writes a value to `out` as indented JSON.
  void Print(const nlohmann::json& value) const;
};

/// Parses "IP:PORT". Fails with kUsage if it is not an address.
CtlResult<Address> ParseNodeAddress(const std::string& text);

/// Returns the content of a file. Fails with kUsage if it can't be read.
CtlResult<std::string> ReadTextFile(const std::string& path);

/// Formats milliseconds since the Unix epoch in UTC, as in
/// "2026-01-31T12:00:00.000Z".
std::string FormatUtc(std::uint64_t at_ms);

/// The commands of tanagerctl, one for each in its usage text. Each writes its
/// result or failure and returns the exit status.
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
