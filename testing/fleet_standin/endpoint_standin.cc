#include "testing/fleet_standin/endpoint_standin.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include "runtime/runtime.h"
#include "testing/fleet_standin/store_standin.h"

namespace tanagerloom {

namespace asio = boost::asio;

namespace {

constexpr int kEventsPerStream = 4;
constexpr auto kAdapterLoadTime = std::chrono::milliseconds(5);

HttpResponse NotExecuted(int status) {
  return {status, {{"Not-Executed", "1"}}, ""};
}

}  // namespace

// A socket that is bound to a port and does not listen, so that connections are
// refused and no other process gets the port.
struct EndpointStandin::HeldPort {
  explicit HeldPort(const Address& address) : socket(Runtime::Get().io()) {
    const asio::ip::tcp::endpoint local(asio::ip::make_address(address.ip),
                                        address.port);
    socket.open(local.protocol());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind(local);
  }

  asio::ip::tcp::socket socket;
};

EndpointStandin::EndpointStandin(StoreStandin& store,
                                 std::string id,
                                 std::string service)
    : serve([](const HttpRequest& request, HttpResponder& responder) {
        if (request.target.find("stream") == std::string::npos) {
          (void)responder.Send({200, SealedHeaders(request), "the answer"});
          return;
        }
        (void)responder.StartStream(200, SealedHeaders(request));
        for (int i = 1; i <= kEventsPerStream; ++i) {
          (void)responder.Write(StreamEvent(i));
        }
        (void)responder.Finish();
      }),
      store_(store),
      id_(std::move(id)),
      service_(std::move(service)),
      server_(MakeServer()),
      address_(server_->Listen({"127.0.0.1", 0}).value()) {}

EndpointStandin::~EndpointStandin() = default;

std::unique_ptr<HttpServer> EndpointStandin::MakeServer() {
  return std::make_unique<HttpServer>(
      Runtime::Get().io(), HttpServerLimits{},
      [this](const HttpRequest& request, HttpResponder& responder) {
        Handle(request, responder);
      });
}

void EndpointStandin::Crash() {
  server_->StopAccepting();
  held_port_ = std::make_unique<HeldPort>(address_);
}

void EndpointStandin::Recover() {
  server_ = MakeServer();
  (void)server_->Listen(address_).value();
  held_port_.reset();
}

HttpHeaders EndpointStandin::SealedHeaders(const HttpRequest& request) {
  return {{"Attempt-Id",
           std::string(request.headers.Find("Attempt-Id").value_or(""))},
          {"Response-Seal", "seal"}};
}

std::string EndpointStandin::StreamEvent(int id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) +
         "\n\n";
}

void EndpointStandin::Register() {
  Address advertised = address_;
  if (advertised_port != 0) {
    advertised.port = advertised_port;
  }
  store_.Set("servers", id_,
             {{"service", service_},
              {"address", advertised.ToString()},
              {"zone", "z"},
              {"version", "v1"},
              {"slots", 8},
              {"state", draining ? "draining" : "ready"},
              {"coldLeftMs", 0},
              {"born", started_ms_},
              {"models", ModelsJson()},
              {"available",
               {{"inMemory", nlohmann::json::array()}, {"onDisk", on_disk}}},
              {"seq", ++entry_sequence_}});
}

void EndpointStandin::Restart() {
  ++started_ms_;
  entry_sequence_ = 0;
  accepted_orders_ = 0;
  draining = false;
  loaded.clear();
  adapters.clear();
  Register();
}

nlohmann::json EndpointStandin::ModelsJson() const {
  auto models = nlohmann::json::array();
  for (const auto& model : loaded) {
    auto names = nlohmann::json::array();
    for (const auto& it : adapters) {
      if (it.starts_with(model + "/")) {
        names.push_back(it.substr(model.size() + 1));
      }
    }
    models.push_back({{"name", model}, {"version", 1}, {"adapters", names}});
  }
  return models;
}

bool EndpointStandin::IsLoaded(std::string_view model) const {
  const auto slash = model.find('/');
  return loaded.contains(std::string(model.substr(0, slash))) &&
         (slash == std::string_view::npos ||
          adapters.contains(std::string(model)));
}

void EndpointStandin::Handle(const HttpRequest& request,
                             HttpResponder& responder) {
  const auto expected = request.headers.Find("Expect-Instance");
  if (expected && *expected != id_) {
    (void)responder.Send(NotExecuted(421));
    return;
  }
  if (request.Path() == "/tanagerloom/report") {
    SendReport(responder);
    return;
  }
  if (request.Path() == "/tanagerloom/order") {
    HandleOrder(request, responder);
    return;
  }
  requests_.push_back(request);
  const auto model = request.headers.Find("Model");
  if (model && !IsLoaded(*model)) {
    (void)responder.Send(NotExecuted(421));
    return;
  }
  if (refuse(request, responder)) {
    return;
  }
  runs_.emplace_back(request.headers.Find("Attempt-Id").value_or(""));
  serve(request, responder);
}

void EndpointStandin::SendReport(HttpResponder& responder) const {
  (void)responder.Send(
      JsonResponse(200, nlohmann::json({{"models", ModelsJson()},
                                        {"busy", busy_},
                                        {"seq", accepted_orders_}})
                            .dump()));
}

void EndpointStandin::HandleOrder(const HttpRequest& request,
                                  HttpResponder& responder) {
  const auto json = nlohmann::json::parse(request.body);
  const auto operation = json.at("operation").get<std::string>();
  const auto model = json.at("model").get<std::string>();
  orders_.push_back({std::chrono::steady_clock::now(), operation, model,
                     json.at("holder").get<std::string>(),
                     json.at("fence").get<std::uint64_t>()});
  if (busy_ || json.value("expect", accepted_orders_) != accepted_orders_) {
    ++refused_orders_;
    (void)responder.Send({409, {}, ""});
    return;
  }
  ++accepted_orders_;
  if (const auto adapter = json.find("adapter"); adapter != json.end()) {
    HandleAdapterOrder(operation == "load",
                       model + "/" + adapter->get<std::string>(), responder);
    return;
  }
  busy_ = true;
  (void)responder.Send({202, {}, ""});
  boost::fibers::fiber([this, load = operation == "load", model] {
    ExecuteOrder(load, model);
  }).detach();
}

// An order for an adapter does not make the engine busy. An adapter is unloaded
// at once, which the status 200 instead of 202 reports.
void EndpointStandin::HandleAdapterOrder(bool load,
                                         std::string name,
                                         HttpResponder& responder) {
  if (!load) {
    adapters.erase(name);
    (void)responder.Send({200, {}, ""});
    return;
  }
  (void)responder.Send({202, {}, ""});
  boost::fibers::fiber([this, name = std::move(name)] {
    boost::this_fiber::sleep_for(kAdapterLoadTime);
    adapters.insert(name);
  }).detach();
}

void EndpointStandin::ExecuteOrder(bool load, std::string model) {
  const auto start = started_ms_;
  boost::this_fiber::sleep_for(load ? load_time : std::chrono::milliseconds(1));
  busy_ = false;
  if (start != started_ms_) {
    return;  // The endpoint restarted while the order was in flight.
  }
  if (load) {
    loaded.insert(model);
    on_disk.insert(model);
  } else {
    loaded.erase(model);
  }
  Register();
}

}  // namespace tanagerloom
