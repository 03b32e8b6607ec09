// Defines EndpointStandin, a stand-in for a registered model engine or plain
// service of the users' platform. It serves requests, executes orders and keeps
// its entry in the object store up to date.
#ifndef TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_
#define TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"
#include "http/http_responder.h"
#include "http/http_server.h"

namespace tanagerloom {

class StoreStandin;

/// An order that an engine received, whether accepted or refused.
struct ReceivedOrder {
  std::chrono::steady_clock::time_point received_at;
  std::string operation;  ///< "load" or another value to unload.
  std::string model;
  std::string holder;       ///< Lease holder that sent the order.
  std::uint64_t fence = 0;  ///< Fencing token of the order.
};

/// An HTTP server that plays one endpoint. It must live until the process ends,
/// because the fibers of its server do.
class EndpointStandin {
 public:
  using RequestHandler =
      std::function<void(const HttpRequest&, HttpResponder&)>;

  /// Starts to listen; the endpoint is not registered yet.
  EndpointStandin(StoreStandin& store, std::string id, std::string service);
  ~EndpointStandin();

  /// Writes the endpoint's entry to the store. An executed order writes it
  /// again.
  void Register();

  /// Simulates a restart with the same id: only the models on disk remain, and
  /// the entry has a new start time.
  void Restart();

  /// Simulates a crash of the process: nothing listens at the address any more.
  /// The caller aborts the requests that run.
  void Crash();

  /// Ends a simulated crash.
  void Recover();

  /// Serves a request. The default sends one sealed answer or, if the path
  /// contains "stream", a sealed stream of four events.
  RequestHandler serve;
  /// Called for each request before it runs. Returns true if it has refused the
  /// request, which then counts as not run.
  std::function<bool(const HttpRequest&, HttpResponder&)> refuse =
      [](const HttpRequest&, HttpResponder&) { return false; };
  /// Whether the entry reports the state "draining" instead of "ready".
  bool draining = false;
  /// Time that the load of a model takes.
  std::chrono::milliseconds load_time{300};
  /// Models with a cached copy on disk.
  std::set<std::string> on_disk;
  /// Models in memory.
  std::set<std::string> loaded;
  /// Adapters in memory, as MODEL/NAME.
  std::set<std::string> adapters;
  /// Port in the endpoint's entry, such as that of a proxy; 0: the port of the
  /// endpoint itself.
  std::uint16_t advertised_port = 0;

  const std::string& id() const { return id_; }
  /// Time of the latest start, Unix time in ms.
  std::uint64_t started_ms() const { return started_ms_; }
  const Address& address() const { return address_; }
  /// Attempt ids of the requests that the endpoint ran, in order.
  const std::vector<std::string>& runs() const { return runs_; }
  /// Requests received, including those refused because a model is not loaded.
  const std::vector<HttpRequest>& requests() const { return requests_; }
  /// Orders received, including refused ones.
  const std::vector<ReceivedOrder>& orders() const { return orders_; }
  /// Number of orders that were refused.
  int refused_orders() const { return refused_orders_; }

  /// Returns the headers of a sealed answer to a request.
  static HttpHeaders SealedHeaders(const HttpRequest& request);
  /// Returns the server-sent event number `id` of the default stream.
  static std::string StreamEvent(int id);

 private:
  struct HeldPort;

  std::unique_ptr<HttpServer> MakeServer();
  void Handle(const HttpRequest& request, HttpResponder& responder);
  void SendReport(HttpResponder& responder) const;
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  void HandleAdapterOrder(bool load,
                          std::string name,
                          HttpResponder& responder);
  /// Loads or unloads a model, unless the endpoint restarts meanwhile.
  void ExecuteOrder(bool load, std::string model);
  nlohmann::json ModelsJson() const;
  /// Whether MODEL or MODEL/ADAPTER is in memory.
  bool IsLoaded(std::string_view model) const;

  StoreStandin& store_;
  std::string id_;
  std::string service_;
  std::uint64_t entry_sequence_ = 0;  ///< Sequence number of the latest entry.
  std::uint64_t started_ms_ = 1700000000000;  ///< Start time, Unix time in ms.
  std::uint64_t accepted_orders_ = 0;         ///< Since the latest start.
  bool busy_ = false;  ///< Whether an order for a model is in flight.
  std::vector<std::string> runs_;
  std::vector<HttpRequest> requests_;
  std::vector<ReceivedOrder> orders_;
  int refused_orders_ = 0;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HeldPort> held_port_;  ///< During a simulated crash.
  Address address_;
};

}  // namespace tanagerloom

#endif  // TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_
