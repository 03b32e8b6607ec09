#include "http/http_message.h"

#include <algorithm>
#include <cctype>

namespace tanagerloom {

namespace {

bool EqualIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

}  // namespace

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const auto& it : fields_) {
    if (EqualIgnoringCase(it.name, name)) {
      return it.value;
    }
  }
  return std::nullopt;
}

std::vector<std::string_view> HttpHeaders::FindAll(
    std::string_view name) const {
  std::vector<std::string_view> out;
  for (const auto& it : fields_) {
    if (EqualIgnoringCase(it.name, name)) {
      out.push_back(it.value);
    }
  }
  return out;
}

void HttpHeaders::Set(std::string_view name, std::string_view value) {
  std::erase_if(fields_, [&](const HttpHeader& it) {
    return EqualIgnoringCase(it.name, name);
  });
  Add(name, value);
}

void HttpHeaders::Add(std::string_view name, std::string_view value) {
  fields_.push_back({std::string(name), std::string(value)});
}

std::string_view HttpRequest::Path() const {
  return std::string_view(target).substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::Query(std::string_view name) const {
  const auto mark = target.find('?');
  if (mark == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos
                 ? std::string()
                 : PercentDecode(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return std::nullopt;
}

HttpResponse JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      out +=
          static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved = "-._~/";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || kUnreserved.find(c) != std::string::npos) {
      out += c;
    } else {
      out += '%';
      out += kDigits[byte >> 4];
      out += kDigits[byte & 15];
    }
  }
  return out;
}

}  // namespace tanagerloom
