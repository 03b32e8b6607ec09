// TCP proxy that injects faults. One process serves several links and their
// control API on --port: PUT /links/NAME {"target":PORT,"listen":PORT or 0}
// adds a link, POST /links/NAME changes its faults (see link.h), GET /links
// lists all links.
#include <map>

#include "runtime/runtime.h"
#include "testing/fault_proxy/link.h"
#include "testing/support/flags.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

// The control API and the links by name.
class FaultProxy {
 public:
  explicit FaultProxy(const Flags& flags)
      : seed_(static_cast<std::uint64_t>(flags.Number("seed", 1))) {}

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path() == "/links") {
      auto list = nlohmann::json::object();
      for (const auto& [name, link] : links_) {
        list[name] = link->ToJson();
      }
      SendJson(responder, 200, list);
      return;
    }
    const auto name = PathAfter(request, "/links/");
    const auto body = ParseObject(request, responder);
    if (!name || !body) {
      if (body) {
        SendJson(responder, 404, {{"error", "no such path"}});
      }
      return;
    }
    if (request.method == "PUT") {
      Add(*name, *body, responder);
    } else if (const auto it = links_.find(*name); it != links_.end()) {
      it->second->Apply(*body);
      SendJson(responder, 200, it->second->ToJson());
    } else {
      SendJson(responder, 404, {{"error", "no such link"}});
    }
  }

 private:
  void Add(const std::string& name,
           const nlohmann::json& body,
           HttpResponder& responder) {
    auto link =
        std::make_shared<Link>(body.value("target", 0), seed_ + links_.size());
    if (!link->Listen(body.value("listen", 0))) {
      SendJson(responder, 409, {{"error", "the port is in use"}});
      return;
    }
    links_[name] = link;
    SendJson(responder, 200, link->ToJson());
  }

  std::uint64_t seed_;  // Link number n uses the seed plus n.
  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace
}  // namespace tanagerloom::testing_support

int main(int argc, char** argv) {
  using namespace tanagerloom::testing_support;
  tanagerloom::Runtime::Get();
  const Flags flags(argc, argv);
  FaultProxy proxy(flags);
  const auto server =
      ServeLoopback(static_cast<std::uint16_t>(flags.Number("port", 0)),
                    [&](const auto& request, auto& responder) {
                      proxy.Handle(request, responder);
                    });
  RunUntilStopped();
}
