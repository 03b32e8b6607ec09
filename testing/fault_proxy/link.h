// Defines Link: one listening port of the fault proxy and the target that it
// forwards to, with the faults that are set for it.
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

/// Forwards TCP connections with faults. Settings, changed by Apply():
/// - delay_to_target_ms, delay_to_client_ms: for each chunk of data;
/// - cut_to_target_bytes, cut_to_client_bytes: close a new connection after so
///   many bytes in that direction; -1 never;
/// - lose_answers: the next N times the target answers, discard it and close;
/// - refuse: close the listening port;
/// - silent_new: "to_target", "to_client" or "both": new connections stay open
///   and forward nothing that way;
/// - random_drop, random_silent: probabilities for each chunk;
/// - random_delay_ms: upper bound of a random delay for each chunk.
/// Actions: drop_existing (true), silence_existing (a direction as above).
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(std::uint16_t target, std::uint64_t seed);

  /// Listens on `port` of the loopback address; 0 takes a free one. Returns
  /// whether that worked.
  bool Listen(std::uint16_t port);

  void Apply(nlohmann::json changes);
  nlohmann::json ToJson() const;

 private:
  struct Connection;
  using Socket = boost::asio::ip::tcp::socket;

  void AcceptLoop();
  void ServeClient(Socket client);
  void Pump(const std::shared_ptr<Connection>& connection, bool to_target);
  bool Forward(Connection& connection, bool to_target, const std::string& data);
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
