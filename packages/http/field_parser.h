// Defines RequestParser and ResponseParser, which read messages without ending
// the process over a header field that is too long for the library.
#ifndef HTTP_FIELD_PARSER_H_
#define HTTP_FIELD_PARSER_H_

#include <utility>
// Keep this after <utility>: Boost 1.74's Asio uses std::exchange without
// including its header.
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include "http/field_size.h"

namespace tanagerloom {

/// Beast's parser of a message, for fields from an untrusted peer.
///
/// A header field that is too long fails with bhttp::error::header_limit;
/// Beast's own container throws instead, mostly in an I/O handler, where no
/// caller can catch it. Trailers are read and dropped: nothing here uses them,
/// and merged into the header they could replace a field of it (RFC 9110,
/// section 6.5.1).
template <bool is_request, typename Body>
class FieldParser : public boost::beast::http::parser<is_request, Body> {
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_text,
                     boost::beast::string_view value,
                     boost::beast::error_code& ec) final {
    if (this->is_header_done()) {
      return;
    }
    if (!FitsHeaderField(name_text.size(), value.size())) {
      ec = boost::beast::http::error::header_limit;
      return;
    }
    this->get().base().insert(name, name_text, value);
  }
};

template <typename Body>
using RequestParser = FieldParser</*is_request=*/true, Body>;
template <typename Body>
using ResponseParser = FieldParser</*is_request=*/false, Body>;

}  // namespace tanagerloom

#endif  // HTTP_FIELD_PARSER_H_
