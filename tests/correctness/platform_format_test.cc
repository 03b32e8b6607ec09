// Tests of the adapter that decodes and encodes the platform's messages.
#include <gtest/gtest.h>

#include "config/digest.h"
#include "fleet/customer_index.h"
#include "platform/config_decoder.h"
#include "platform/entry_decoder.h"
#include "platform/header_protocol.h"
#include "platform/settings_decoder.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","pathPrefix":"/a/","kind":"streaming",
   "timeoutMs":17000,"goalMs":3000,"priority":0,"service":"s1","maxAttempts":1,
   "sticky":true,"resumable":false,"gapTargetMs":400},
  {"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"idempotent",
   "timeoutMs":800,"goalMs":100,"priority":2,"trafficSplit":[
     {"service":"s1","weight":90},{"service":"s2","weight":10}],
   "maxAttempts":2}],
 "services":[{"name":"s1","healthPath":"/health","maxConns":370,"engine":{
   "slots":64,"weightsMb":200000.0,"adapterSlots":8,"loadsPerS":3.8,"models":[
   {"name":"m","weightsMb":65500.0,"loadS":6.0,"adapters":37,"adapterMb":40.0,
    "warmS":0.38,"diskS":1.0}]}},{"name":"s2","healthPath":"/h","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
           "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// Guards against a field of the configuration that is decoded into another one
// or in the wrong unit.
TEST(PlatformConfig, EveryFieldIsRead) {
  const auto result = platform::DecodeConfig(kConfig);
  ASSERT_TRUE(result);
  const auto& config = result.assume_value();
  EXPECT_EQ(config.version, 7U);
  ASSERT_EQ(config.routes.size(), 2U);
  const auto& route = *config.routes[0].value;
  EXPECT_EQ(route.kind, RequestKind::kStreaming);
  EXPECT_EQ(route.timeout, milliseconds(17000));
  EXPECT_EQ(route.latency_goal, milliseconds(3000));
  EXPECT_EQ(route.max_event_gap, milliseconds(400));
  EXPECT_FALSE(route.IsRetryable());
  EXPECT_EQ(route.targets.at(0).service, "s1");
  EXPECT_TRUE(config.routes[1].value->IsRetryable());
  EXPECT_EQ(config.routes[1].value->targets.size(), 2U);
  EXPECT_EQ(config.routes[1].value->max_attempts, 2U);
  const auto* model = config.FindModel("s1", "m");
  ASSERT_NE(model, nullptr);
  EXPECT_EQ(model->store_load_time, milliseconds(6000));
  EXPECT_EQ(model->disk_load_time, milliseconds(1000));
  EXPECT_EQ(model->memory_load_time, milliseconds(380));
  EXPECT_EQ(config.FindService("s1")->engine->adapter_slots, 8U);
  EXPECT_FALSE(config.FindService("s2")->engine);
  EXPECT_EQ(config.limits.idle_timeout, milliseconds(15000));
}

// Guards against a malformed configuration, such as one without its version,
// that is put in force.
TEST(PlatformConfig, MalformedConfigurationIsRefused) {
  EXPECT_FALSE(platform::DecodeConfig("{"));
  EXPECT_FALSE(platform::DecodeConfig(R"({"routes":[]})"));
  EXPECT_FALSE(platform::DecodeConfig(R"({"version":-1})"));
  EXPECT_FALSE(platform::DecodeConfig(
      R"({"version":1,"routes":[{"host":"h","pathPrefix":"/","kind":"other","service":"s"}]})"));
}

// Guards against a customer whose quota or priority is decoded into another
// field, and against keys that are kept as they are.
TEST(PlatformConfig, CustomersAreRead) {
  const auto result = platform::DecodeConfig(
      R"({"version":1,"tenants":[
          {"name":"north","apiKeys":["k1","k2"],"priority":1,"unit":"tokens",
           "plainTokens":200,"ratePerS":5000,"burst":700},
          {"name":"south","apiKeys":["k3"],"ratePerS":20}]})");
  ASSERT_TRUE(result);
  const auto& config = result.assume_value();
  EXPECT_TRUE(config.needs_keys);
  ASSERT_EQ(config.customers.size(), 2U);
  const auto& north = *config.customers[0].value;
  EXPECT_EQ(north.name, "north");
  EXPECT_EQ(north.priority, 1U);
  EXPECT_EQ(north.quota, (CustomerQuota{5000, 700, QuotaUnit::kTokens, 200}));
  const auto& south = *config.customers[1].value;
  EXPECT_FALSE(south.priority);
  EXPECT_EQ(south.quota.unit, QuotaUnit::kRequests);
  const CustomerIndex index(config);
  EXPECT_EQ(index.FindByKey(Sha256Hex("k2")), &north);
  EXPECT_EQ(index.FindByKey(Sha256Hex("k3")), &south);
  EXPECT_EQ(index.FindByKey("k3"), nullptr);
  EXPECT_EQ(index.FindByName("south"), &south);
  EXPECT_FALSE(
      platform::DecodeConfig(R"({"version":1})").assume_value().needs_keys);
}

// Guards against a quota that counts only a part of a request, or nothing for a
// request without counts.
TEST(CustomerQuota, CostFollowsItsUnit) {
  const CustomerQuota tokens{1, 0, QuotaUnit::kTokens, 200};
  RequestProfile profile;
  EXPECT_EQ(QuotaCost(tokens, profile), 200);
  profile.states_token_counts = true;
  profile.prompt_tokens = 1460;
  profile.max_output_tokens = 80;
  EXPECT_EQ(QuotaCost(tokens, profile), 1540);
  EXPECT_EQ(QuotaCost(CustomerQuota{1, 0}, profile), 1);
}

constexpr char kEndpoint[] =
    R"({"service":"s1","address":"10.1.0.9:8080","zone":"z","version":"v1",
        "slots":64,"state":"ready","coldLeftMs":10,"born":1700000000000,
        "models":[{"name":"m","version":1,"adapters":["a3"]}],"seq":4,
        "available":{"inMemory":["m"],"onDisk":["m","n"]}})";

// Guards against a field of an endpoint entry that is decoded into another one.
TEST(PlatformEndpoint, EveryFieldIsRead) {
  const auto result = platform::DecodeEndpoint({"i-1", kEndpoint, 9});
  ASSERT_TRUE(result);
  const auto& record = result.assume_value();
  EXPECT_EQ(record.id, "i-1");
  EXPECT_EQ(record.service, "s1");
  EXPECT_EQ(record.address, (Address{"10.1.0.9", 8080}));
  EXPECT_EQ(record.data_centre, "z");
  EXPECT_EQ(record.slots, 64U);
  EXPECT_FALSE(record.draining);
  EXPECT_EQ(record.boot, 1700000000000U);
  EXPECT_EQ(record.entry_sequence, 4U);
  EXPECT_EQ(record.cold_time_left, milliseconds(10));
  EXPECT_TRUE(record.models.at("m").contains("a3"));
  EXPECT_TRUE(record.cached_weights.in_memory.contains("m"));
  EXPECT_TRUE(record.cached_weights.on_disk.contains("n"));
}

// Guards against requests to an endpoint decoded from an invalid entry that
// another program wrote.
TEST(PlatformEndpoint, InvalidEntriesAreRefused) {
  const auto decode_with = [](std::string_view from, std::string_view to) {
    std::string text = kEndpoint;
    text.replace(text.find(from), from.size(), to);
    return platform::DecodeEndpoint({"i-1", text, 9});
  };
  EXPECT_TRUE(decode_with("\"ready\"", "\"draining\"").assume_value().draining);
  EXPECT_FALSE(decode_with("\"ready\"", "\"asleep\""));
  EXPECT_FALSE(decode_with("\"ready\"", "3"));
  EXPECT_FALSE(decode_with("\"10.1.0.9:8080\"", "\"10.1.0.9\""));
  EXPECT_FALSE(decode_with("\"10.1.0.9:8080\"", "\"10.1.0.9:99999\""));
  EXPECT_FALSE(decode_with("\"10.1.0.9:8080\"", "null"));
  EXPECT_FALSE(decode_with("\"service\"", "\"other\""));
  EXPECT_FALSE(decode_with("64", "0"));
  EXPECT_FALSE(decode_with("64", "-64"));
  EXPECT_FALSE(decode_with("64", "\"64\""));
  EXPECT_FALSE(decode_with(
      "[{\"name\":\"m\",\"version\":1,\"adapters\":[\"a3\"]}]", "[7]"));
  EXPECT_FALSE(platform::DecodeEndpoint({"i-1", "null", 9}));
  EXPECT_FALSE(platform::DecodeEndpoint({"i-1", "\"\\u0001junk\"", 9}));
  EXPECT_FALSE(platform::DecodeEndpoint({"i-1", "{\"service\":\xff}", 9}));
}

constexpr char kSettings[] = R"({"nodeName":"front-z-1","ip":"10.1.0.38",
  "zone":"z","region":"r","heartbeatMs":1500,"portRange":[7380,7395],"unknown":{"x":1},
  "listen":{"front":"10.1.0.38:8149","readyAddr":"10.1.0.38:8141",
            "control":"10.1.0.38:8144"},
  "bounds":{"graceS":8,"drainMs":2000,"configMs":2000,"contactMs":3000,
            "leaseMs":3000,"retryRatio":0.2,"retryWindowS":10,"retrySlack":56,
            "ceilingWindowS":5},
  "limits":{"memoryMb":260,"cpuShare":0.25,"maxFds":4100},
  "platform":{"address":"10.200.1.7:8142"}})";

// Guards against a setting that is decoded into another one or in the wrong
// unit.
TEST(PlatformSettings, EveryFieldIsRead) {
  const auto result = platform::DecodeSettings(kSettings);
  ASSERT_TRUE(result);
  const auto& settings = result.assume_value();
  EXPECT_EQ(settings.node_id, "front-z-1");
  EXPECT_EQ(settings.data_centre, "z");
  EXPECT_EQ(settings.client_listen, (Address{"10.1.0.38", 8149}));
  EXPECT_EQ(settings.readiness_listen, (Address{"10.1.0.38", 8141}));
  EXPECT_EQ(settings.control_listen, (Address{"10.1.0.38", 8144}));
  EXPECT_EQ(settings.peer_listen, (Address{"10.1.0.38", 7380}));
  EXPECT_EQ(settings.store, (Address{"10.200.1.7", 8142}));
  EXPECT_EQ(settings.bounds.shutdown_grace, milliseconds(8000));
  // Three check-in intervals.
  EXPECT_EQ(settings.bounds.max_endpoint_silence, milliseconds(4500));
  EXPECT_EQ(settings.bounds.order_handover_gap, milliseconds(3000));
  EXPECT_EQ(settings.bounds.load_rate_window, milliseconds(5000));
  EXPECT_EQ(settings.bounds.retry_limits.slack, 56);
  EXPECT_EQ(settings.processors, 0.25);
  EXPECT_EQ(settings.memory_bytes, 260U * 1024 * 1024);
  // 200 descriptors are for files.
  EXPECT_EQ(settings.max_sockets, 3900U);
}

// Guards against a node that refuses every response because the settings state
// no memory.
TEST(PlatformSettings, UnknownMemoryKeepsTheDefault) {
  for (const std::string memory : {"0", "null"}) {
    std::string text = kSettings;
    text.replace(text.find("260"), 3, memory);
    EXPECT_EQ(platform::DecodeSettings(text).value().memory_bytes,
              FleetSettings().memory_bytes);
  }
}

// Guards against a node that starts without a required setting, and against an
// error that does not name it.
TEST(PlatformSettings, MissingFieldIsNamedInTheError) {
  for (const std::string field :
       {"nodeName", "ip", "zone", "portRange", "front", "address"}) {
    std::string text = kSettings;
    text.replace(text.find("\"" + field + "\""), field.size() + 2, "\"gone\"");
    const auto result = platform::DecodeSettings(text);
    ASSERT_FALSE(result) << field;
    EXPECT_NE(result.assume_error().message.find(field), std::string::npos);
  }
}

HttpRequest ClientRequest() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a/2f?x=1";
  request.body = "prompt";
  request.headers = {{"Host", "h.example"},
                     {"Attempt-Id", "9c41"},
                     {"Model", "m/a3"},
                     {"Token-Count", "1460,80"},
                     {"Prompt-Prefix", "5c:800,91:410,e4:250"},
                     {"Deadline-Ms", "6000"},
                     {"Last-Event-Id", "12"},
                     {"Connection", "keep-alive, X-Hop"},
                     {"X-Hop", "1"},
                     {"X-Own", "kept"},
                     {"Hold", "client"},
                     {"Kv-From", "10.0.0.1:1/x"},
                     {"Transfer-Encoding", "chunked"}};
  return request;
}

// Guards against a model, prompt or timeout that is decoded wrongly.
TEST(PlatformHeaders, RequestIsDecoded) {
  const platform::HeaderProtocol protocol;
  const auto profile = protocol.ReadRequest(ClientRequest());
  EXPECT_EQ(profile.attempt_id, "9c41");
  EXPECT_EQ(profile.time_left, milliseconds(6000));
  EXPECT_EQ(profile.model, (ModelRef{"m", "a3"}));
  EXPECT_EQ(profile.prompt_tokens, 1460U);
  EXPECT_EQ(profile.max_output_tokens, 80U);
  EXPECT_EQ(profile.prompt.size(), 3U);
  EXPECT_EQ(profile.SharedPromptTokens(), 1210U);
}

// Guards against a request that is changed on its way to an endpoint, that has
// a header of the client which only nodes may set, or that lacks a header which
// the node must set.
TEST(PlatformHeaders, AttemptKeepsTheRequestAndDropsReservedHeaders) {
  const platform::HeaderProtocol protocol;
  AttemptParameters parameters;
  parameters.endpoint = "i-7";
  parameters.time_left = milliseconds(4321);
  parameters.urgency = 2;
  const auto attempt = protocol.MakeAttempt(ClientRequest(), parameters);
  EXPECT_EQ(attempt.method, "POST");
  EXPECT_EQ(attempt.target, "/a/2f?x=1");
  // Not copied: it is sent from the request itself.
  EXPECT_EQ(attempt.body, "");
  EXPECT_EQ(attempt.headers.Find("Host"), "h.example");
  EXPECT_EQ(attempt.headers.Find("Attempt-Id"), "9c41");
  EXPECT_EQ(attempt.headers.Find("Prompt-Prefix"), "5c:800,91:410,e4:250");
  EXPECT_EQ(attempt.headers.Find("Deadline-Ms"), "4321");
  EXPECT_EQ(attempt.headers.Find("Expect-Instance"), "i-7");
  EXPECT_EQ(attempt.headers.Find("Request-Urgency"), "2");
  EXPECT_EQ(attempt.headers.Find("Last-Event-Id"), "12");
  EXPECT_EQ(attempt.headers.Find("X-Own"), "kept");
  for (const char* name : {"X-Hop", "Hold", "Kv-From", "Transfer-Encoding"}) {
    EXPECT_FALSE(attempt.headers.Find(name)) << name;
  }
  parameters.resume_after_event = "40";
  EXPECT_EQ(protocol.MakeAttempt(ClientRequest(), parameters)
                .headers.Find("Last-Event-Id"),
            "40");
}

// Guards against a response that is assigned to another attempt, and against a
// request that counts as not run although the endpoint does not say so.
TEST(PlatformHeaders, ResponseIsDecoded) {
  const platform::HeaderProtocol protocol;
  const auto sealed_response = protocol.ReadResponse(
      200, {{"Attempt-Id", "9c41"}, {"Response-Seal", "3e1b"}});
  EXPECT_EQ(sealed_response.attempt_id, "9c41");
  EXPECT_TRUE(sealed_response.from_endpoint);
  EXPECT_FALSE(sealed_response.not_run);
  EXPECT_TRUE(protocol.ReadResponse(503, {{"Not-Executed", "1"}}).not_run);
  EXPECT_FALSE(protocol.ReadResponse(503, {}).not_run);
  EXPECT_TRUE(protocol.ReadResponse(421, {}).not_run);
  EXPECT_TRUE(
      protocol.ReadResponse(200, {{"Content-Encoding", "gzip"}}).encoded);
}

// Guards against nonsense that is taken for a load, and against a load that is
// read as another one.
TEST(PlatformHeaders, ReportedLoadIsReadOrIgnoredAsAWhole) {
  const platform::HeaderProtocol protocol;
  const auto load = [&](const HttpHeaders& headers) {
    return protocol.ReadResponse(200, headers).load;
  };
  EXPECT_EQ(load({{"Server-Load", "3,1,8"}}),
            (ReportedLoad{3, 1, 8, std::nullopt}));
  EXPECT_EQ(load({{"server-load", " 3, 1 ,8,250 "}}),
            (ReportedLoad{3, 1, 8, 2.5}));
  EXPECT_EQ(load({{"Server-Load", "3,1,8"}, {"Server-Load", "3,1,8"}}),
            (ReportedLoad{3, 1, 8, std::nullopt}));
  for (const char* nonsense :
       {"", "3", "3,1", "3,1,0", "3,1,8,0", "3,1,8,100,1", "-3,1,8", "3,x,8",
        "3,1,8,", "3,1,8,1e3", "3;1;8", "3.5,1,8", "99999999999,1,8",
        "4000000,1,8", "3,1,8,99999999"}) {
    EXPECT_EQ(load({{"Server-Load", nonsense}}), std::nullopt) << nonsense;
  }
  EXPECT_EQ(load({{"Server-Load", "3,1,8"}, {"Server-Load", "4,1,8"}}),
            std::nullopt);
  EXPECT_EQ(load({}), std::nullopt);
}

// Guards against a Retry-After rounded to whole seconds, and against a node's
// own response that lacks the attempt's id.
TEST(PlatformHeaders, OwnResponseHasTheAttemptIdAndRetryAfter) {
  const platform::HeaderProtocol protocol;
  RequestProfile profile;
  profile.attempt_id = "9c41";
  const auto own_response =
      protocol.MakeOwnResponse(503, profile, milliseconds(300));
  EXPECT_EQ(own_response.status, 503);
  EXPECT_EQ(own_response.headers.Find("Retry-After"), "0.300");
  EXPECT_EQ(own_response.headers.Find("Attempt-Id"), "9c41");
  EXPECT_FALSE(protocol.MakeOwnResponse(404, profile, milliseconds(0))
                   .headers.Find("Retry-After"));
}

}  // namespace
}  // namespace tanagerloom
