// Defines NodeClient, which calls the operator API of a node.
#ifndef CTL_NODE_CLIENT_H_
#define CTL_NODE_CLIENT_H_

#include <boost/outcome.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "base/address.h"
#include "ctl/exit_status.h"
#include "http/http_client.h"

namespace tanagerloom {

/// The exit status and message of a command that failed.
struct CtlFailure {
  ExitStatus status = ExitStatus::kUnreachable;
  std::string message;
};

/// A value or a CtlFailure.
template <typename T>
using CtlResult = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, CtlFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Calls the admin listener of one node. A call fails with kUnreachable if
/// there is no response, it is not a JSON object or its status is 5xx, and with
/// kRefused for any other status but 200.
class NodeClient {
 public:
  /// `token` may be empty for calls that only read.
  NodeClient(HttpClient& http, Address node, std::string token);

  /// Returns the JSON response to a GET of `target`.
  CtlResult<nlohmann::json> Get(const std::string& target);

  /// Sends a PUT or POST with the token and returns the JSON response.
  CtlResult<nlohmann::json> Send(const std::string& method,
                                 const std::string& target,
                                 std::string body);

 private:
  CtlResult<nlohmann::json> Call(const HttpRequest& request);

  HttpClient& http_;
  Address node_;
  std::string token_;
};

}  // namespace tanagerloom

#endif  // CTL_NODE_CLIENT_H_
