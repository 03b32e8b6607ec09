// Defines Link, which forwards the connections of one listening port of the
// fault proxy to a target port and injects the configured faults.
#ifndef TESTING_FAULT_PROXY_LINK_H_
#define TESTING_FAULT_PROXY_LINK_H_

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>

#include "testing/support/standin.h"

namespace tanagerloom::testing_support {

/// Forwards TCP connections and injects faults. Settings, changed by Apply():
/// - delay_to_target_ms, delay_to_client_ms: delay of each chunk of data in
/// that
///   direction;
/// - cut_to_target_bytes, cut_to_client_bytes: close a new connection after
/// this
///   number of bytes in that direction; -1: never;
/// - lose_answers: discard the next N chunks from the target and close their
///   connections;
/// - refuse: close the listening port;
/// - silent_new: "to_target", "to_client" or "both": new connections stay open
///   and forward nothing in that direction;
/// - random_drop, random_silent: probability, for each chunk, that the
///   connection closes or becomes silent in both directions;
/// - random_delay_ms: maximum of a random delay of each chunk.
/// Actions of Apply() on open connections:
/// - drop_existing: true closes them;
/// - silence_existing: a direction as for silent_new.
class Link : public std::enable_shared_from_this<Link> {
 public:
  /// Forwards to port `target` of the loopback address. `seed` makes the random
  /// faults repeatable.
  Link(std::uint16_t target, std::uint64_t seed);

  /// Starts to accept connections on `port` of the loopback address; 0 takes a
  /// free port. Returns false if the port cannot be opened.
  bool Listen(std::uint16_t port);

  /// Merges changes into the settings and executes the actions among them.
  void Apply(nlohmann::json changes);
  /// Returns the ports, settings and counters.
  nlohmann::json ToJson() const;

 private:
  struct Connection;
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptLoop();
  /// Connects to the target and forwards in both directions until the
  /// connection closes.
  void ServeClient(Socket client);
  /// Forwards one direction until the sender or a fault ends it.
  void Pump(const std::shared_ptr<Connection>& connection, bool to_target);
  /// Forwards one chunk. Returns false if the connection is to be closed.
  bool Forward(Connection& connection, bool to_target, const std::string& data);
  /// Decides at random with the probability in the setting `name`.
  bool ShouldInject(const char* name);

  std::uint16_t target_;
  std::uint16_t port_ = 0;
  boost::asio::ip::tcp::acceptor acceptor_;
  TestControl control_;
  std::mt19937_64 random_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::uint64_t accepted_ = 0;
  std::uint64_t bytes_to_target_ = 0;
  std::uint64_t bytes_to_client_ = 0;
  std::uint64_t lost_answers_ = 0;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_FAULT_PROXY_LINK_H_
