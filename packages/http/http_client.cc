#include "http/http_client.h"

#include <map>
#include <utility>
#include <vector>

#include "http/http_connection.h"

namespace tanagerloom {

namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 64;
// One body may use half of the memory: a client has few large responses.
constexpr std::size_t kMaxShareDivisor = 2;

}  // namespace

struct HttpClient::State {
  explicit State(std::size_t buffer_bytes)
      : buffers(buffer_bytes, kMaxShareDivisor) {}

  std::map<Address, std::vector<std::unique_ptr<HttpConnection>>> idle;
  BufferBudget buffers;
};

HttpClient::HttpClient(boost::asio::io_context& io, std::size_t buffer_bytes)
    : io_(io), state_(std::make_shared<State>(buffer_bytes)) {}

HttpClient::~HttpClient() = default;

std::size_t HttpClient::buffered_bytes() const {
  return state_->buffers.used_bytes();
}

std::unique_ptr<HttpConnection> HttpClient::TakeIdleConnection(
    const Address& address) {
  auto& idle = state_->idle;
  const auto it = idle.find(address);
  while (it != idle.end() && !it->second.empty()) {
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
  return std::make_unique<HttpExchange>(std::move(connection), state_);
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
                           std::shared_ptr<HttpClient::State> client)
    : connection_(std::move(connection)),
      client_(std::move(client)),
      share_(client_->buffers) {}

HttpExchange::~HttpExchange() {
  if (!connection_->IsReusable()) {
    return;
  }
  auto& pool = client_->idle[connection_->address()];
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
  BOOST_OUTCOME_TRY(n, connection_->ReadSome(out, deadline));
  if (!share_.Resize(out.capacity())) {
    connection_->Close();
    return HttpFailure{
        MakeError(ErrorKind::kUnknown, "response unfinished after " +
                                           std::to_string(out.size()) +
                                           " buffered bytes, from " +
                                           connection_->address().ToString()),
        Verdict::kMayHaveRun};
  }
  return n;
}

bool HttpExchange::complete() const {
  return connection_->complete();
}

void HttpExchange::Abort() {
  connection_->Close();
}

}  // namespace tanagerloom
