// Tests of the reports that engines of the users' platform give of themselves.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "fleet/model_ref.h"
#include "http/http_client.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "platform/engine_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {
namespace {

// Serves one report. Leaked with its server, whose fibers run until the process
// ends.
struct ReportingEngine {
  int status = 200;
  std::string body;
  HttpHeaders headers;
  HttpServer server{Runtime::Get().io(), HttpServerLimits{},
                    [this](const HttpRequest&, HttpResponder& responder) {
                      (void)responder.Send({status, headers, body});
                    }};
  Address address = server.Listen({"127.0.0.1", 0}).value();
};

class EngineReport : public testing::Test {
 protected:
  Result<EngineState> Read(const std::string& body) {
    engine.body = body;
    return engines.ReadState(engine.address);
  }

  ReportingEngine& engine = *new ReportingEngine();
  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};
  platform::EngineClient engines{client, clock};
};

// Guards against adapters on their way to an engine that are not counted, since
// only its loaded ones are read from the report.
TEST_F(EngineReport, ListsAdaptersOnTheirWay) {
  const auto state = Read(R"({"seq":8,"busy":false,"born":5,
      "models":[{"name":"m","version":3,"adapters":["a1"]}],
      "pending":["m/a9@3","m/b@home@1","n@2"]})");
  ASSERT_TRUE(state) << state.assume_error().message;
  EXPECT_EQ(state.assume_value().sequence, 8U);
  std::map<ModelRef, EngineReplicaState> found;
  for (const auto& it : state.assume_value().entries) {
    found[{it.model, it.adapter}] = it.state;
  }
  const std::map<ModelRef, EngineReplicaState> expected{
      {{"m", ""}, EngineReplicaState::kLoaded},
      {{"m", "a1"}, EngineReplicaState::kLoaded},
      {{"m", "a9"}, EngineReplicaState::kLoading},
      {{"m", "b@home"}, EngineReplicaState::kLoading},
      {{"n", ""}, EngineReplicaState::kLoading}};
  EXPECT_EQ(found, expected);
}

// Guards against orders that are based on a report whose list of adapters on
// their way can't be read.
TEST_F(EngineReport, UnreadableListOfAdaptersOnTheirWayIsAnError) {
  EXPECT_FALSE(Read(R"({"seq":8,"models":[],"pending":[7]})"));
  EXPECT_FALSE(Read(R"({"seq":8,"models":[],"pending":"m/a9@3"})"));
  EXPECT_TRUE(Read(R"({"seq":8,"models":[],"pending":null})"));
}

// Guards against orders to an engine that says in its answers to the node that
// orders it that it leaves.
TEST_F(EngineReport, AnswersSayThatTheEngineLeaves) {
  const std::string report = R"({"seq":8,"models":[]})";
  EXPECT_FALSE(Read(report).assume_value().leaving);
  EXPECT_TRUE(Read(R"({"seq":8,"models":[],"state":"draining"})")
                  .assume_value()
                  .leaving);
  EXPECT_FALSE(
      Read(R"({"seq":8,"models":[],"state":"ready"})").assume_value().leaving);
  engine.headers.Add("Server-Leaving", "1");
  EXPECT_TRUE(Read(report).assume_value().leaving);
  const auto leaving = [&](int status) {
    engine.status = status;
    return std::visit([](const auto& it) { return it.leaving; },
                      engines.Send(engine.address, {}).assume_value());
  };
  EXPECT_TRUE(leaving(202));
  EXPECT_TRUE(leaving(409));
  // Another engine that has the address now says nothing of this one.
  EXPECT_FALSE(leaving(421));
}

}  // namespace
}  // namespace tanagerloom
