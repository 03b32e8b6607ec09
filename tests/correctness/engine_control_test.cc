// Test of the control of engines over HTTP.
#include <gtest/gtest.h>

#include "http/http_client.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "object_api/http_engine_control.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

// Guards against a state report of an engine that is decoded into the wrong
// fields or drops cached models.
TEST(EngineControlTest, ReadsCachedModelsAndEntries) {
  HttpServer server(Runtime::Get().io(), {},
                    [](const HttpRequest&, HttpResponder& responder) {
                      (void)responder.Send(JsonResponse(200, R"({
          "boot":"b1","sequence":7,"highest_fence":3,"memory_mb":80000,
          "used_mb":9000,"leaving":true,
          "cached":{"a-model-with-a-long-name":"memory","another":"disk"},
          "entries":[{"model":"m","version":"1","adapter":"","state":"loaded",
                      "order":"o1","cause":""}]})"));
                    });
  const auto address = server.Listen({"127.0.0.1", 0}).value();
  HttpClient client(Runtime::Get().io());
  const SteadyClock clock;
  HttpEngineControl control(client, clock, 2s);
  const auto state = control.ReadState(address);
  ASSERT_TRUE(state) << state.assume_error().message;
  const std::map<std::string, CheckpointSource> cached{
      {"a-model-with-a-long-name", CheckpointSource::kMemory},
      {"another", CheckpointSource::kDisk}};
  EXPECT_EQ(state.assume_value().cached, cached);
  EXPECT_TRUE(state.assume_value().leaving);
  ASSERT_EQ(state.assume_value().entries.size(), 1U);
  EXPECT_EQ(state.assume_value().entries[0].state, EngineReplicaState::kLoaded);
}

}  // namespace
}  // namespace tanagerloom
