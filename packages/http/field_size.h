// Defines the size limit of one header field.
#ifndef HTTP_FIELD_SIZE_H_
#define HTTP_FIELD_SIZE_H_

#include <cstddef>
#include <cstdint>
#include <limits>

namespace tanagerloom {

/// Max number of bytes of a field's name, and of its value. Beast keeps each
/// length, with two bytes for the separator, in 16 bits and throws
/// std::length_error beyond.
inline constexpr std::size_t kMaxFieldPartBytes =
    std::numeric_limits<std::uint16_t>::max() - 2;

/// Whether a message can hold a field with a name and a value of these sizes,
/// in bytes.
constexpr bool FitsHeaderField(std::size_t name_bytes,
                               std::size_t value_bytes) {
  return name_bytes <= kMaxFieldPartBytes && value_bytes <= kMaxFieldPartBytes;
}

}  // namespace tanagerloom

#endif  // HTTP_FIELD_SIZE_H_
