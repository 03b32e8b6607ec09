// Defines ServerConnection, the state of one client connection of HttpServer.
#ifndef HTTP_SERVER_CONNECTION_H_
#define HTTP_SERVER_CONNECTION_H_

#include <utility>
// Keep this after <utility>: Boost 1.74's Asio uses std::exchange without
// including its header.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <list>

#include "http/io_watchdog.h"
#include "http/request_memory.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// A connection from a client, which carries one request at a time.
struct ServerConnection {
  ServerConnection(boost::asio::io_context& io,
                   boost::asio::ip::tcp::socket socket,
                   std::size_t max_unparsed_bytes,
                   BufferBudget& budget)
      : stream(std::move(socket)),
        watchdog(io, stream.socket()),
        buffer(max_unparsed_bytes),
        memory(budget, [this] { EndStalledRead(); }) {}

  /// Ends the read that waits for the client.
  void EndStalledRead() {
    ended_as_stalled = true;
    boost::system::error_code ec;
    stream.socket().cancel(ec);
  }

  boost::beast::tcp_stream stream;
  IoWatchdog watchdog;
  /// Input that is not parsed yet. It has no memory between requests.
  boost::beast::flat_buffer buffer;
  RequestMemoryUse memory;
  bool ended_as_stalled = false;
  TimePoint idle_since{};
  std::list<ServerConnection*>::iterator idle_place;  ///< While it is idle.
};

}  // namespace tanagerloom

#endif  // HTTP_SERVER_CONNECTION_H_
