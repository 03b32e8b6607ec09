#include "ctl/ctl.h"

#include <docopt/docopt.h>

#include <ostream>

#include "ctl/ctl_context.h"
#include "http/http_client.h"

namespace tanagerloom {

namespace {

constexpr const char* kUsage = R"(Operates a tanagerloom estate.

Usage:
  tanagerctl apply FILE --node=ADDRESS [--token=TOKEN] [--expect=VERSION] [--author=NAME] [--json]
  tanagerctl validate FILE... [--json]
  tanagerctl show [OPERATOR] --node=ADDRESS [--json]
  tanagerctl diff FILE --node=ADDRESS [--json]
  tanagerctl history --node=ADDRESS [--limit=N] [--before=VERSION] [--json]
  tanagerctl status --node=ADDRESS [--json]
  tanagerctl drain --node=ADDRESS [--token=TOKEN] [--json]
  tanagerctl timeline (--node=ADDRESS)... [--request=ID] [--model=NAME] [--server=NAME] [--at=NODE] [--format=FORMAT] [--json]
  tanagerctl load WORKLOAD (--node=ADDRESS)... [--seed=SEED] [--json]
  tanagerctl explain ID [LOG...]
  tanagerctl hash [--salt=SALT] [--json]
  tanagerctl (-h | --help)

Options:
  --node=ADDRESS    IP:PORT of a node's admin listener; for load, of its caller
                    listener.
  --token=TOKEN     Operator token; by default from the environment variable
                    TANAGERLOOM_TOKEN, which other users can't see.
  --expect=VERSION  Refuse if the file's version in force is another one; 0 if
                    there must be no file yet.
  --author=NAME     Who applies the file, for the history.
  --limit=N         Number of entries [default: 20].
  --before=VERSION  Only entries with a lower version.
  --request=ID      Only events of this request.
  --model=NAME      Only events of this model.
  --server=NAME     Only events of this server.
  --at=NODE         Only events of this node.
  --format=FORMAT   text, json or trace (trace-event JSON) [default: text].
  --seed=SEED       Seed of the arrivals; by default the workload's own.
  --salt=SALT       Salt of the digest of a token; without it, a plain digest
                    as for caller keys. The secret is read from standard input.
  --json            Write JSON.

Exit status: 0 done, 1 refused, 2 usage, 3 unreachable.
)";

// Runs one command and returns its exit status.
using Command = ExitStatus (*)(const CtlContext&);

constexpr std::pair<const char*, Command> kCommands[] = {
    {"apply", RunApply}, {"validate", RunValidate}, {"show", RunShow},
    {"diff", RunDiff},   {"history", RunHistory},   {"status", RunStatus},
    {"drain", RunDrain}, {"hash", RunHash},         {"timeline", RunTimeline},
    {"load", RunLoad},   {"explain", RunExplain},
};

// Runs the command that is given.
ExitStatus Dispatch(const CtlContext& ctl) {
  for (const auto& it : kCommands) {
    if (ctl.HasFlag(it.first)) {
      return it.second(ctl);
    }
  }
  return ExitStatus::kUsage;
}

}  // namespace

int RunCtl(boost::asio::io_context& io,
           const std::vector<std::string>& args,
           std::ostream& out,
           std::ostream& err) {
  std::map<std::string, docopt::value> parsed;
  try {
    parsed = docopt::docopt_parse(kUsage, args, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    out << kUsage;
    return static_cast<int>(ExitStatus::kDone);
  } catch (const std::exception& e) {
    err << "tanagerctl: " << e.what() << "\n" << kUsage;
    return static_cast<int>(ExitStatus::kUsage);
  }
  HttpClient http(io);
  const CtlContext ctl{parsed, http, out, err};
  try {
    return static_cast<int>(Dispatch(ctl));
  } catch (const nlohmann::json::exception&) {
    return static_cast<int>(ctl.ReportFailure(
        {ExitStatus::kUnreachable,
         "a node's response does not have the form of the operator API"}));
  }
}

}  // namespace tanagerloom
