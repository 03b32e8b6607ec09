#include "object_api/http_vm_list.h"

#include <nlohmann/json.hpp>

#include "http/http_client.h"

namespace tanagerloom {

namespace {

VmRole ParseRole(std::string_view name) {
  if (name == "engine") {
    return VmRole::kEngine;
  }
  return name == "service" ? VmRole::kService : VmRole::kNode;
}

Vm ParseVm(const nlohmann::json& json) {
  Vm vm;
  vm.id = json.at("id").get<std::string>();
  vm.role = ParseRole(json.at("role").get<std::string>());
  vm.address = {json.at("address").get<std::string>(),
                json.at("port").get<std::uint16_t>()};
  vm.peer_port = json.value("peer_port", std::uint16_t{0});
  vm.admin_port = json.value("admin_port", std::uint16_t{0});
  vm.data_centre = json.value("data_centre", "");
  vm.pool = json.value("pool", "");
  vm.leaving = json.value("state", "live") == "leaving";
  return vm;
}

}  // namespace

HttpVmList::HttpVmList(HttpClient& client,
                       const Clock& clock,
                       Address platform,
                       Duration call_timeout)
    : client_(client),
      clock_(clock),
      platform_(std::move(platform)),
      call_timeout_(call_timeout) {}

Result<std::vector<Vm>> HttpVmList::Read() {
  const auto response =
      client_.Call(platform_, {"GET", "/vms", {}, ""},
                   {.deadline = clock_.Now() + call_timeout_});
  if (!response) {
    return response.assume_error().error;
  }
  if (response.assume_value().status != 200) {
    return MakeError(
        ErrorKind::kUnavailable,
        "VM list: status " + std::to_string(response.assume_value().status));
  }
  try {
    const auto json = nlohmann::json::parse(response.assume_value().body);
    std::vector<Vm> vms;
    for (const auto& it : json.at("vms")) {
      vms.push_back(ParseVm(it));
    }
    return vms;
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kUnavailable,
                     std::string("VM list: ") + error.what());
  }
}

}  // namespace tanagerloom
