#include "http/transfer_coding.h"

#include <algorithm>
#include <string>
#include <vector>

namespace tanagerloom {

namespace {

constexpr std::string_view kChunkedCoding = "chunked";

// Returns the name of a coding in lower case, without spaces around it. A name
// with other white space or parameters is not `chunked`.
std::string CodingName(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  text = text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
  std::string out(text);
  std::ranges::transform(out, out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

}  // namespace

TransferCoding ReadTransferCoding(std::span<const std::string_view> values) {
  if (values.empty()) {
    return TransferCoding::kNone;
  }
  std::vector<std::string> codings;
  for (auto it : values) {
    while (true) {
      const auto comma = it.find(',');
      codings.push_back(CodingName(it.substr(0, comma)));
      if (comma == std::string_view::npos) {
        break;
      }
      it.remove_prefix(comma + 1);
    }
  }
  if (codings.back() != kChunkedCoding ||
      std::ranges::count(codings, kChunkedCoding) > 1) {
    return TransferCoding::kInvalid;
  }
  return codings.size() == 1 ? TransferCoding::kChunked
                             : TransferCoding::kUnsupported;
}

}  // namespace tanagerloom
