// Defines ObjectReader, which reads and checks the fields of one JSON object.
// It collects every problem instead of stopping at the first.
#ifndef CONFIG_OBJECT_READER_H_
#define CONFIG_OBJECT_READER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "config/problem.h"

namespace tanagerloom {

/// Whether a field must be present.
enum class Presence { kRequired, kOptional };

/// Whether messages may quote the value of a field.
enum class Privacy { kPublic, kSecret };

/// Reads the fields of a JSON object. Each method leaves `out` unchanged if the
/// field is absent or invalid; an invalid field, and an absent required one, is
/// added to the problems. Finish() must be called last: it reports the keys
/// that no method has read.
class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& value,
               std::string path,
               std::vector<ConfigProblem>& problems);

  /// Reads a non-empty string.
  void String(std::string_view key,
              std::string& out,
              Presence presence,
              Privacy privacy = Privacy::kPublic);
  /// Reads a name as IsName() defines it.
  void Name(std::string_view key, std::string& out, Presence presence);
  /// Reads a digest of 64 lower-case hexadecimal digits.
  void Sha256(std::string_view key, std::string& out, Presence presence);
  /// Reads true or false.
  void Bool(std::string_view key, bool& out);
  /// Reads a number from `min` to `max`.
  void Number(std::string_view key, double& out, double min, double max);
  /// Reads a whole number from `min` to `max`.
  void Unsigned(std::string_view key,
                std::uint64_t& out,
                std::uint64_t min,
                std::uint64_t max,
                Presence presence = Presence::kOptional);
  void Unsigned(std::string_view key,
                std::uint32_t& out,
                std::uint32_t min,
                std::uint32_t max,
                Presence presence = Presence::kOptional);
  /// Reads a whole number of milliseconds. `key` ends in "_ms".
  void Milliseconds(std::string_view key,
                    std::chrono::milliseconds& out,
                    std::uint64_t min_ms,
                    std::uint64_t max_ms);
  /// Reads "IP:PORT" with a numeric IP address; an IPv6 address is in brackets.
  void TcpAddress(std::string_view key,
                  Address& out,
                  Presence presence,
                  std::uint16_t min_port);
  /// Reads a list of non-empty strings, which itself may be empty only if it is
  /// optional.
  void Strings(std::string_view key,
               std::vector<std::string>& out,
               Presence presence,
               Privacy privacy = Privacy::kPublic);
  /// Reads an object by calling `read` with a reader of it.
  void Object(std::string_view key,
              Presence presence,
              const std::function<void(ObjectReader&)>& read);
  /// Reads an object whose keys are names and whose values are objects. Calls
  /// `read` with each name and a reader of its value.
  void Map(std::string_view key,
           const std::function<void(const std::string&, ObjectReader&)>& read);
  /// Reads a list of objects by calling `read` with a reader of each.
  void List(std::string_view key,
            const std::function<void(ObjectReader&)>& read);

  /// Adds a problem with the field `key`, or with the object if `key` is empty.
  void Problem(std::string_view key, std::string what);

  /// Reports the keys that no method has read as unknown.
  void Finish();

  /// JSON path of the object.
  const std::string& path() const { return path_; }

 private:
  /// The value of a key, which becomes known; null if it is absent.
  const nlohmann::json* Find(std::string_view key, Presence presence);
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string path_;
  std::vector<ConfigProblem>& problems_;
  std::set<std::string, std::less<>> known_keys_;
};

/// Whether `text` is a name: at most 100 letters, digits, '.', '_' and '-', the
/// first a letter or digit.
bool IsName(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_OBJECT_READER_H_
