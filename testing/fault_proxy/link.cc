#include "testing/fault_proxy/link.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "runtime/await.h"
#include "runtime/runtime.h"

namespace tanagerloom::testing_support {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;
constexpr double kSilencePollIntervalMs = 50;
const nlohmann::json kDefaultControl = {
    {"delay_to_target_ms", 0},   {"delay_to_client_ms", 0},
    {"cut_to_target_bytes", -1}, {"cut_to_client_bytes", -1},
    {"lose_answers", 0},         {"refuse", false},
    {"silent_new", ""},          {"random_drop", 0.0},
    {"random_silent", 0.0},      {"random_delay_ms", 0.0}};

}  // namespace

// One client connection and its connection to the target.
struct Link::Connection {
  Connection(Socket client, Socket target)
      : client(std::move(client)), target(std::move(target)) {}

  Socket client;
  Socket target;
  // The arrays have one entry for each direction: to the client, to the target.
  std::array<bool, 2> silent{};
  // Bytes until the connection is closed; -1: no limit.
  std::array<std::int64_t, 2> bytes_left{-1, -1};
  int open_directions = 2;
  bool closed = false;

  // Stops forwarding in a direction: "to_client", "to_target" or "both".
  void Silence(const std::string& direction) {
    silent[0] = silent[0] || direction == "to_client" || direction == "both";
    silent[1] = silent[1] || direction == "to_target" || direction == "both";
  }

  void Close() {
    closed = true;
    boost::system::error_code ec;
    client.close(ec);
    target.close(ec);
  }
};

Link::Link(std::uint16_t target, std::uint64_t seed)
    : target_(target),
      acceptor_(Runtime::Get().io()),
      control_(kDefaultControl),
      random_(seed) {}

bool Link::Listen(std::uint16_t port) {
  boost::system::error_code ec;
  const asio::ip::tcp::endpoint local(asio::ip::address_v4::loopback(), port);
  acceptor_.open(local.protocol(), ec);
  acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  acceptor_.bind(local, ec);
  if (!ec) {
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    acceptor_.close(ec);
    return false;
  }
  port_ = acceptor_.local_endpoint().port();
  Spawn([self = shared_from_this()] { self->AcceptLoop(); });
  return true;
}

void Link::AcceptLoop() {
  while (true) {
    Socket client(Runtime::Get().io());
    const auto result =
        AwaitIo([&](auto done) { acceptor_.async_accept(client, done); });
    if (result.ec) {
      return;
    }
    ++accepted_;
    auto moved = std::make_shared<Socket>(std::move(client));
    Spawn([self = shared_from_this(), moved] {
      self->ServeClient(std::move(*moved));
    });
  }
}

void Link::ServeClient(Socket client) {
  Socket target(Runtime::Get().io());
  const auto result = AwaitIo([&](auto done) {
    target.async_connect({asio::ip::address_v4::loopback(), target_}, done);
  });
  if (result.ec) {
    return;
  }
  boost::system::error_code ec;
  client.set_option(asio::ip::tcp::no_delay(true), ec);
  target.set_option(asio::ip::tcp::no_delay(true), ec);
  auto connection =
      std::make_shared<Connection>(std::move(client), std::move(target));
  connection->Silence(control_.Text("silent_new"));
  connection->bytes_left = {
      static_cast<std::int64_t>(control_.Number("cut_to_client_bytes")),
      static_cast<std::int64_t>(control_.Number("cut_to_target_bytes"))};
  connections_.insert(connection);
  Spawn([self = shared_from_this(), connection] {
    self->Pump(connection, /*to_target=*/false);
  });
  Pump(connection, /*to_target=*/true);
}

void Link::Pump(const std::shared_ptr<Connection>& connection, bool to_target) {
  auto& from = to_target ? connection->client : connection->target;
  auto& to = to_target ? connection->target : connection->client;
  std::string buf(kChunkBytes, '\0');
  while (!connection->closed) {
    const auto result = AwaitIo([&](auto done) {
      from.async_read_some(asio::buffer(buf.data(), buf.size()), done);
    });
    if (ShouldInject("random_silent")) {
      connection->Silence("both");
    }
    // A silent connection stays open on both sides, even if one side closes it.
    while (connection->silent[to_target ? 1 : 0] && !connection->closed) {
      SleepMs(kSilencePollIntervalMs);
    }
    if (result.ec == asio::error::eof) {
      boost::system::error_code ec;
      to.shutdown(Socket::shutdown_send, ec);
      break;
    }
    if (result.ec || !Forward(*connection, to_target,
                              buf.substr(0, result.bytes_transferred))) {
      connection->Close();
    }
  }
  if (--connection->open_directions == 0) {
    connection->Close();
    connections_.erase(connection);
  }
}

bool Link::Forward(Connection& connection,
                   bool to_target,
                   const std::string& data) {
  if (ShouldInject("random_drop")) {
    return false;
  }
  if (!to_target && control_.ConsumeFault("lose_answers")) {
    ++lost_answers_;
    return false;
  }
  SleepMs(
      control_.Number(to_target ? "delay_to_target_ms" : "delay_to_client_ms"));
  const auto max_delay_ms = control_.Number("random_delay_ms");
  if (max_delay_ms > 0) {
    SleepMs(std::uniform_real_distribution<double>(0, max_delay_ms)(random_));
  }
  auto& bytes_left = connection.bytes_left[to_target ? 1 : 0];
  const auto size = static_cast<std::int64_t>(data.size());
  const bool is_limit_reached = bytes_left >= 0 && size >= bytes_left;
  const auto n = static_cast<std::size_t>(is_limit_reached ? bytes_left : size);
  auto& to = to_target ? connection.target : connection.client;
  const auto result = AwaitIo([&](auto done) {
    asio::async_write(to, asio::buffer(data.data(), n), done);
  });
  (to_target ? bytes_to_target_ : bytes_to_client_) += result.bytes_transferred;
  if (bytes_left >= 0) {
    bytes_left -= static_cast<std::int64_t>(n);
  }
  return !result.ec && !is_limit_reached;
}

bool Link::ShouldInject(const char* name) {
  const auto probability = control_.Number(name);
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

void Link::Apply(nlohmann::json changes) {
  if (changes.value("drop_existing", false)) {
    for (const auto& it : connections_) {
      it->Close();
    }
  }
  const auto direction = changes.value("silence_existing", std::string());
  for (const auto& it : connections_) {
    it->Silence(direction);
  }
  changes.erase("drop_existing");
  changes.erase("silence_existing");
  const bool refused = control_.Bool("refuse");
  control_.Merge(changes);
  if (control_.Bool("refuse") && !refused) {
    boost::system::error_code ec;
    acceptor_.close(ec);
  } else if (!control_.Bool("refuse") && refused) {
    Listen(port_);
  }
}

nlohmann::json Link::ToJson() const {
  return {{"listen", port_},
          {"target", target_},
          {"settings", control_.values()},
          {"accepted", accepted_},
          {"open", connections_.size()},
          {"bytes_to_target", bytes_to_target_},
          {"bytes_to_client", bytes_to_client_},
          {"lost_answers", lost_answers_}};
}

}  // namespace tanagerloom::testing_support
