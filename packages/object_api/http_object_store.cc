#include "object_api/http_object_store.h"

#include <charconv>
#include <nlohmann/json.hpp>

#include "http/http_client.h"

namespace tanagerloom {

namespace {

std::string ObjectTarget(std::string_view key) {
  return "/objects/" + PercentEncode(key);
}

Result<std::uint64_t> ParseVersionHeader(const HttpResponse& response) {
  const auto header = response.headers.Find("X-Version");
  std::uint64_t version = 0;
  if (!header ||
      std::from_chars(header->data(), header->data() + header->size(), version)
              .ec != std::errc()) {
    return MakeError(ErrorKind::kUnknown,
                     "object API: the response has no valid X-Version header");
  }
  return version;
}

Error StatusError(const HttpResponse& response, std::string_view key) {
  const std::string what = "object API, key " + std::string(key) + ": status " +
                           std::to_string(response.status);
  switch (response.status) {
    case 404:
      return MakeError(ErrorKind::kNotFound, what);
    case 409:
    case 412:
      return MakeError(ErrorKind::kConflict, what);
    case 413:
      return MakeError(ErrorKind::kInvalid, what);
    case 429:
    case 503:
      return MakeError(ErrorKind::kUnavailable, what);
    default:
      return MakeError(ErrorKind::kUnknown, what);
  }
}

void AddCondition(HttpRequest& request, std::uint64_t expected_version) {
  if (expected_version == 0) {
    request.headers.Set("If-None-Match", "*");
  } else {
    request.headers.Set("If-Match", std::to_string(expected_version));
  }
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpClient& client,
                                 const Clock& clock,
                                 Address platform,
                                 Duration call_timeout)
    : client_(client),
      clock_(clock),
      platform_(std::move(platform)),
      call_timeout_(call_timeout) {}

Result<HttpResponse> HttpObjectStore::Call(const HttpRequest& request,
                                           Duration timeout) {
  auto response =
      client_.Call(platform_, request, {.deadline = clock_.Now() + timeout});
  if (!response) {
    ++calls_.failures;
    return std::move(response).assume_error().error;
  }
  return std::move(response).assume_value();
}

Result<StoredObject> HttpObjectStore::Get(std::string_view key) {
  ++calls_.reads;
  BOOST_OUTCOME_TRY(response,
                    Call({"GET", ObjectTarget(key), {}, ""}, call_timeout_));
  if (response.status != 200) {
    return StatusError(response, key);
  }
  BOOST_OUTCOME_TRY(version, ParseVersionHeader(response));
  return StoredObject{std::move(response.body), version};
}

Result<std::uint64_t> HttpObjectStore::Put(std::string_view key,
                                           std::string_view value,
                                           std::uint64_t expected_version) {
  ++calls_.writes;
  HttpRequest request{"PUT", ObjectTarget(key), {}, std::string(value)};
  AddCondition(request, expected_version);
  BOOST_OUTCOME_TRY(response, Call(request, call_timeout_));
  if (response.status != 200) {
    return StatusError(response, key);
  }
  return ParseVersionHeader(response);
}

Result<void> HttpObjectStore::Delete(std::string_view key,
                                     std::uint64_t expected_version) {
  ++calls_.writes;
  HttpRequest request{"DELETE", ObjectTarget(key), {}, ""};
  AddCondition(request, expected_version);
  BOOST_OUTCOME_TRY(response, Call(request, call_timeout_));
  if (response.status != 200) {
    return StatusError(response, key);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<std::vector<ObjectKey>> HttpObjectStore::List(std::string_view prefix) {
  ++calls_.reads;
  BOOST_OUTCOME_TRY(
      response,
      Call({"GET", "/objects?prefix=" + PercentEncode(prefix), {}, ""},
           call_timeout_));
  if (response.status != 200) {
    return StatusError(response, prefix);
  }
  const auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (!json.is_array()) {
    return MakeError(ErrorKind::kUnknown,
                     "object API: the list of keys is not an array");
  }
  std::vector<ObjectKey> keys;
  for (const auto& it : json) {
    keys.push_back(
        {it.value("key", ""), it.value("version", std::uint64_t{0})});
  }
  return keys;
}

Result<std::optional<StoredObject>> HttpObjectStore::Watch(std::string_view key,
                                                           std::uint64_t after,
                                                           Duration timeout) {
  ++calls_.watches;
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  const HttpRequest request{"GET",
                            "/watch/" + PercentEncode(key) +
                                "?after=" + std::to_string(after) +
                                "&timeout_ms=" + std::to_string(ms),
                            {},
                            ""};
  BOOST_OUTCOME_TRY(response, Call(request, timeout + call_timeout_));
  if (response.status == 204) {
    return std::optional<StoredObject>();
  }
  if (response.status != 200) {
    return StatusError(response, key);
  }
  BOOST_OUTCOME_TRY(version, ParseVersionHeader(response));
  return std::optional(StoredObject{std::move(response.body), version});
}

}  // namespace tanagerloom
