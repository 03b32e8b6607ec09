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

/// A call that did not succeed.
struct CtlFailure {
  ExitStatus status = ExitStatus::kUnreachable;
  std::string message;
};

/// A value or a CtlFailure.
template <typename T>
using CtlResult = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, CtlFailure, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Calls one node's admin listener.
class NodeClient {
 public:
  /// `token` may be empty for calls that only read.
  NodeClient(HttpClient& http, Address node, std::string token);

  /// The JSON answer to a GET of `target`.
  CtlResult<nlohmann::json> Get(const std::string& target);

  /// The JSON answer to a PUT or POST.
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
