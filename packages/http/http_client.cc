#include "http/http_client.h"

#include <utility>

#include "http/http_connection.h"

namespace tanagerloom {

namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 64;

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io)
    : io_(io), idle_(std::make_shared<IdleConnections>()) {}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::TakeIdleConnection(
    const Address& address) {
  const auto it = idle_->find(address);
  while (it != idle_->end() && !it->second.empty()) {
    auto connection = std::move(it->second.back());
    it->second.pop_back();
    if (connection->IsUsable()) {
      return connection;
    }
  }
  return nullptr;
}

HttpResult<std::unique_ptr<HttpExchange>> HttpClient::Start(
    const Address& address,
    const HttpRequest& request,
    const HttpCallOptions& options) {
  auto connection =
      options.fresh_connection ? nullptr : TakeIdleConnection(address);
  if (connection == nullptr) {
    connection = std::make_unique<HttpConnection>(io_, address);
    BOOST_OUTCOME_TRYV(connection->Connect(options.deadline));
  }
  BOOST_OUTCOME_TRYV(connection->Send(request, options));
  return std::make_unique<HttpExchange>(std::move(connection), idle_);
}

HttpResult<HttpResponse> HttpClient::Call(const Address& address,
                                          const HttpRequest& request,
                                          const HttpCallOptions& options) {
  BOOST_OUTCOME_TRY(exchange, Start(address, request, options));
  HttpResponse response;
  response.status = exchange->status();
  response.headers = exchange->headers();
  while (true) {
    BOOST_OUTCOME_TRY(n, exchange->ReadSome(response.body, options.deadline));
    if (n == 0) {
      return response;
    }
  }
}

bool HttpClient::CanConnect(const Address& address, TimePoint deadline) {
  return static_cast<bool>(HttpConnection(io_, address).Connect(deadline));
}

HttpExchange::HttpExchange(std::unique_ptr<HttpConnection> connection,
                           std::weak_ptr<HttpClient::IdleConnections> idle)
    : connection_(std::move(connection)), idle_(std::move(idle)) {}

HttpExchange::~HttpExchange() {
  const auto idle = idle_.lock();
  if (idle == nullptr || !connection_->IsReusable()) {
    return;
  }
  auto& pool = (*idle)[connection_->address()];
  if (pool.size() < kMaxIdleConnectionsPerAddress) {
    pool.push_back(std::move(connection_));
  }
}

int HttpExchange::status() const {
  return connection_->status();
}

const HttpHeaders& HttpExchange::headers() const {
  return connection_->headers();
}

HttpResult<std::size_t> HttpExchange::ReadSome(std::string& out,
                                               TimePoint deadline) {
  return connection_->ReadSome(out, deadline);
}

bool HttpExchange::complete() const {
  return connection_->complete();
}

void HttpExchange::Abort() {
  connection_->Close();
}

}  // namespace tanagerloom
