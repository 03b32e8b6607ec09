// Tests of the choice of a request's route and of the service within a route.
#include <gtest/gtest.h>

#include "fleet/fleet_config.h"
#include "fleet/route_table.h"

namespace tanagerloom {
namespace {

ConfigPart<Route> MakeRoute(std::string host, std::string prefix) {
  Route route;
  route.name = prefix;
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  return {"", std::make_shared<const Route>(std::move(route))};
}

// Guards against a request that is sent on the route of a shorter prefix or of
// another host.
TEST(RouteTable, LongestPrefixOfTheHostWins) {
  FleetConfig config;
  config.routes = {MakeRoute("a.example", "/x/"),
                   MakeRoute("a.example", "/x/y/"),
                   MakeRoute("b.example", "/x/y/z/")};
  const RouteTable table(config);
  EXPECT_EQ(table.Match("a.example", "/x/y/1")->name, "/x/y/");
  EXPECT_EQ(table.Match("a.example", "/x/yy")->name, "/x/");
  EXPECT_EQ(table.Match("a.example", "/x/y/z/1")->name, "/x/y/");
  EXPECT_EQ(table.Match("a.example", "/y/"), nullptr);
  EXPECT_EQ(table.Match("c.example", "/x/"), nullptr);
}

// Guards against a prefix that is missed or matched wrongly beside longer and
// shorter ones of the same host, and at the ends of the path.
TEST(RouteTable, PrefixEndsAtAnySlashOfThePath) {
  FleetConfig config;
  config.routes = {MakeRoute("a.example", "/"), MakeRoute("a.example", "/x/"),
                   MakeRoute("a.example", "/x/y/longer/")};
  const RouteTable table(config);
  EXPECT_EQ(table.Match("a.example", "/")->name, "/");
  EXPECT_EQ(table.Match("a.example", "/x")->name, "/");
  EXPECT_EQ(table.Match("a.example", "/x/")->name, "/x/");
  EXPECT_EQ(table.Match("a.example", "/x/y/longe")->name, "/x/");
  EXPECT_EQ(table.Match("a.example", "/x/y/longer/1/2/3")->name,
            "/x/y/longer/");
  EXPECT_EQ(table.Match("a.example", ""), nullptr);
}

// Guards against a 404 for a host that is written with a port or in upper case.
TEST(RouteTable, HostIsComparedWithoutPortAndCase) {
  FleetConfig config;
  config.routes = {MakeRoute("a.Example", "/x/")};
  const RouteTable table(config);
  EXPECT_NE(table.Match("A.example:8080", "/x/1"), nullptr);
}

// Guards against a traffic split that ignores the weights or sends requests to
// a service of weight 0.
TEST(ChooseTarget, FollowsTheWeights) {
  Route route;
  route.targets = {{"none", 0}, {"most", 90}, {"few", 10}};
  EXPECT_EQ(ChooseTarget(route, 0.0)->service, "most");
  EXPECT_EQ(ChooseTarget(route, 0.89)->service, "most");
  EXPECT_EQ(ChooseTarget(route, 0.91)->service, "few");
  EXPECT_EQ(ChooseTarget(route, 0.9999999)->service, "few");
  route.targets = {{"none", 0}};
  EXPECT_EQ(ChooseTarget(route, 0.5), nullptr);
}

}  // namespace
}  // namespace tanagerloom
