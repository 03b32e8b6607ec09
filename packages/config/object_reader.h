// Defines ObjectReader, which reads the fields of one JSON object and collects
// every problem instead of stopping at the first.
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

/// Whether a field's value may be repeated in messages.
enum class Privacy { kPublic, kSecret };

/// Reads fields of an object. Each method keeps `out` as it is if the field is
/// absent or wrong. Call Finish() last: it reports the keys nothing asked for.
class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& value,
               std::string path,
               std::vector<ConfigProblem>& problems);

  void String(std::string_view key,
              std::string& out,
              Presence presence,
              Privacy privacy = Privacy::kPublic);
  /// A name: letters, digits, '.', '_' and '-', at most 100 characters.
  void Name(std::string_view key, std::string& out, Presence presence);
  /// 64 lower-case hexadecimal digits.
  void Sha256(std::string_view key, std::string& out, Presence presence);
  void Bool(std::string_view key, bool& out);
  void Number(std::string_view key, double& out, double min, double max);
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
  /// Milliseconds; `key` ends in "_ms".
  void Milliseconds(std::string_view key,
                    std::chrono::milliseconds& out,
                    std::uint64_t min_ms,
                    std::uint64_t max_ms);
  /// "IP:PORT" with a numeric IP; an IPv6 number is in brackets.
  void TcpAddress(std::string_view key,
                  Address& out,
                  Presence presence,
                  std::uint16_t min_port);
  void Strings(std::string_view key,
               std::vector<std::string>& out,
               Presence presence,
               Privacy privacy = Privacy::kPublic);
  /// An object.
  void Object(std::string_view key,
              Presence presence,
              const std::function<void(ObjectReader&)>& read);
  /// An object whose keys are names and whose values are objects.
  void Map(std::string_view key,
           const std::function<void(const std::string&, ObjectReader&)>& read);
  /// A list of objects.
  void List(std::string_view key,
            const std::function<void(ObjectReader&)>& read);

  /// Adds a problem of the field `key`, or of the object if it is empty.
  void Problem(std::string_view key, std::string what);

  /// Reports unknown keys.
  void Finish();

  const std::string& path() const { return path_; }

 private:
  const nlohmann::json* Find(std::string_view key, Presence presence);
  std::string PathOf(std::string_view key) const;

  const nlohmann::json& value_;
  std::string path_;
  std::vector<ConfigProblem>& problems_;
  std::set<std::string, std::less<>> known_keys_;
};

/// Whether `text` is a name as ObjectReader::Name accepts it.
bool IsName(std::string_view text);

}  // namespace tanagerloom

#endif  // CONFIG_OBJECT_READER_H_
