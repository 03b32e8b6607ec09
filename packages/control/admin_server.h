// Defines AdminServer, the HTTP listener of a node for operators, monitoring
// and the load balancer's health checks.
#ifndef CONTROL_ADMIN_SERVER_H_
#define CONTROL_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/address.h"
#include "base/error.h"
#include "http/http_message.h"
#include "http/http_server.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class ConfigStore;
class EventLog;
class Metrics;
class PeerNetwork;

/// What the rest of the node gives the admin listener. Empty ones are left out
/// of the answers.
struct AdminCallbacks {
  /// Why the node does not take requests; empty if it does. The configuration
  /// is checked besides it.
  std::function<std::string()> not_ready_reason;
  /// Starts a graceful shutdown and returns at once.
  std::function<void()> drain;
  /// The placement records as JSON: {"cells":[RECORD, ...]}, each as in section
  /// 2.3 of the design page.
  std::function<nlohmann::json()> placement;
  /// Further fields of /operator/status.
  std::function<nlohmann::json()> status;
};

/// Serves health, metrics, the operator API and the time line.
///
/// PUT requests and POST /operator/drain need `Authorization: Bearer TOKEN`.
/// An error is JSON {"error":{"code","message"}}.
class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io,
              ConfigStore& config,
              PeerNetwork& peers,
              EventLog& events,
              Metrics& metrics,
              AdminCallbacks callbacks);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Listens; returns the bound address.
  Result<Address> Listen(const Address& address);

  /// Stops accepting; requests in progress are answered.
  void StopAccepting();

  /// Answers one request.
  HttpResponse Handle(const HttpRequest& request);

 private:
  using Handler = HttpResponse (AdminServer::*)(const HttpRequest&);

  HttpResponse Healthz(const HttpRequest& request);
  HttpResponse Readyz(const HttpRequest& request);
  HttpResponse MetricsText(const HttpRequest& request);
  HttpResponse ApplyFile(const HttpRequest& request);
  HttpResponse ShowConfiguration(const HttpRequest& request);
  HttpResponse ShowFile(const HttpRequest& request);
  HttpResponse History(const HttpRequest& request);
  HttpResponse Status(const HttpRequest& request);
  HttpResponse Placement(const HttpRequest& request);
  HttpResponse Timeline(const HttpRequest& request);
  HttpResponse Drain(const HttpRequest& request);

  Handler FindHandler(const HttpRequest& request) const;
  std::string NotReadyReason() const;
  nlohmann::json PlacementJson() const;

  ConfigStore& config_;
  PeerNetwork& peers_;
  EventLog& events_;
  Metrics& metrics_;
  AdminCallbacks callbacks_;
  bool draining_ = false;
  HttpServer server_;
};

}  // namespace tanagerloom

#endif  // CONTROL_ADMIN_SERVER_H_
