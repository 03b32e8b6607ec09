#include "testing/fleet_standin/store_standin.h"

#include <boost/fiber/operations.hpp>
#include <chrono>

#include "runtime/runtime.h"

namespace tanagerloom {

namespace {

constexpr std::string_view kPrefix = "/tanagerloom/objects/";
// Time after which the connection of a call without an answer is closed.
constexpr auto kSilentCallTime = std::chrono::seconds(30);

nlohmann::json ObjectJson(const std::string& name,
                          std::uint64_t revision,
                          const nlohmann::json& spec) {
  return {{"metadata",
           {{"name", name},
            {"revision", revision},
            {"created", 1},
            {"finalizers", nlohmann::json::array()},
            {"deleting", false}}},
          {"spec", spec},
          {"status", nullptr}};
}

HttpResponse StatusResponse(int status, const std::string& body = "{}") {
  return JsonResponse(status, body);
}

// Parses a query parameter; 0 if it is absent.
std::uint64_t ParseNumber(const std::optional<std::string>& text) {
  return text ? std::stoull(*text) : 0;
}

}  // namespace

StoreStandin::StoreStandin()
    : server_(std::make_unique<HttpServer>(
          Runtime::Get().io(),
          HttpServerLimits{},
          [this](const HttpRequest& request, HttpResponder& responder) {
            Handle(request, responder);
          })),
      address_(server_->Listen({"127.0.0.1", 0}).value()) {}

void StoreStandin::Set(const std::string& kind,
                       const std::string& name,
                       nlohmann::json spec) {
  StoreObject(kind, name, std::move(spec));
}

void StoreStandin::StoreObject(const std::string& kind,
                               const std::string& name,
                               nlohmann::json spec) {
  objects_by_kind_[kind][name] = {spec, ++revision_};
  history_.push_back({revision_, kind, name, std::move(spec), false});
  changed_.Signal();
}

void StoreStandin::Erase(const std::string& kind, const std::string& name) {
  objects_by_kind_[kind].erase(name);
  history_.push_back({++revision_, kind, name, nullptr, true});
  changed_.Signal();
}

nlohmann::json StoreStandin::Spec(const std::string& kind,
                                  const std::string& name) const {
  const auto objects = objects_by_kind_.find(kind);
  if (objects == objects_by_kind_.end()) {
    return nullptr;
  }
  const auto it = objects->second.find(name);
  return it == objects->second.end() ? nlohmann::json() : it->second.spec;
}

StoreStandin::Copy StoreStandin::MakeCopy() const {
  return {objects_by_kind_, revision_};
}

void StoreStandin::Restore(const Copy& copy) {
  objects_by_kind_ = copy.objects_by_kind;
  revision_ = copy.revision;
  history_.clear();
  oldest_revision_ = revision_;
  era = era.value_or(0) + 1;
  changed_.Signal();
}

void StoreStandin::Send(HttpResponder& responder, HttpResponse response) const {
  if (era) {
    response.headers.Set("Store-Era", std::to_string(*era));
  }
  (void)responder.Send(std::move(response));
}

void StoreStandin::Handle(const HttpRequest& request,
                          HttpResponder& responder) {
  const std::string call = request.method + " " + request.target;
  calls.push_back(call);
  const auto call_fault = fault(call);
  if (call_fault == StoreStandinFault::kRefused) {
    Send(responder, StatusResponse(503));
    return;
  }
  if (call_fault == StoreStandinFault::kSilent) {
    boost::this_fiber::sleep_for(kSilentCallTime);
    responder.Abort();
    return;
  }
  auto answer = Answer(request);
  if (call_fault == StoreStandinFault::kAnswerLost) {
    responder.Abort();
    return;
  }
  Send(responder, std::move(answer));
}

HttpResponse StoreStandin::Answer(const HttpRequest& request) {
  const std::string path = PercentDecode(request.Path());
  if (!path.starts_with(kPrefix)) {
    return StatusResponse(404);
  }
  const std::string rest = path.substr(kPrefix.size());
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  if (slash == std::string::npos) {
    if (request.method == "POST") {
      return Write(kind, body.at("metadata").at("name").get<std::string>(),
                   body, /*create=*/true);
    }
    return request.Query("watch") ? Watch(kind, request) : List(kind, request);
  }
  const std::string name = rest.substr(slash + 1);
  if (request.method == "PUT") {
    return Write(kind, name, body, /*create=*/false);
  }
  const auto it = objects_by_kind_[kind].find(name);
  if (it == objects_by_kind_[kind].end()) {
    return StatusResponse(404);
  }
  if (request.method == "DELETE") {
    Erase(kind, name);
    return StatusResponse(200);
  }
  return StatusResponse(
      200, ObjectJson(name, it->second.revision, it->second.spec).dump());
}

HttpResponse StoreStandin::Write(const std::string& kind,
                                 const std::string& name,
                                 const nlohmann::json& body,
                                 bool create) {
  const auto it = objects_by_kind_[kind].find(name);
  const bool exists = it != objects_by_kind_[kind].end();
  if (!create && !exists) {
    return StatusResponse(404);
  }
  const auto& metadata = body.at("metadata");
  const bool conflict =
      create ? exists
             : metadata.contains("revision") &&
                   metadata.at("revision") != it->second.revision;
  if (conflict) {
    return StatusResponse(
        409, ObjectJson(name, it->second.revision, it->second.spec).dump());
  }
  if (!exists || it->second.spec != body.at("spec")) {
    StoreObject(kind, name, body.at("spec"));
  }
  const auto& object = objects_by_kind_[kind][name];
  return StatusResponse(200,
                        ObjectJson(name, object.revision, object.spec).dump());
}

HttpResponse StoreStandin::List(const std::string& kind,
                                const HttpRequest& request) const {
  auto items = nlohmann::json::array();
  const auto objects = objects_by_kind_.find(kind);
  bool more = false;
  if (objects != objects_by_kind_.end()) {
    const auto after = request.Query("after").value_or("");
    for (auto it = objects->second.upper_bound(after);
         it != objects->second.end(); ++it) {
      if (items.size() == page_size) {
        more = true;
        break;
      }
      items.push_back(
          ObjectJson(it->first, it->second.revision, it->second.spec));
    }
  }
  return StatusResponse(200, nlohmann::json({{"items", items},
                                             {"morePages", more},
                                             {"currentRev", revision_}})
                                 .dump());
}

HttpResponse StoreStandin::Watch(const std::string& kind,
                                 const HttpRequest& request) {
  const auto since = ParseNumber(request.Query("watch"));
  const auto until =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(ParseNumber(request.Query("waitMs")));
  while (true) {
    if (since < oldest_revision_ || since > revision_) {
      return StatusResponse(410);
    }
    const auto seen = changed_.count();
    auto events = nlohmann::json::array();
    for (const auto& it : history_) {
      if (it.kind == kind && it.revision > since) {
        events.push_back(
            {{"tombstone", it.removed},
             {"object", ObjectJson(it.name, it.revision, it.spec)}});
      }
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= until) {
      return StatusResponse(
          200, nlohmann::json({{"events", events}, {"currentRev", revision_}})
                   .dump());
    }
    changed_.WaitUntil(seen, until);
  }
}

}  // namespace tanagerloom
