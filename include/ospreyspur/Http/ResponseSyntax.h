//===- ResponseSyntax.h - what bytes are a response -------------*- C++ -*-===//
//
// Checks the lines of a response's head against the grammar of HTTP/1.1
// (RFC 9112), and the parsed head against the rules for the length of a body.
// Bytes that do not pass are no response: nothing of them may be used.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_RESPONSESYNTAX_H
#define OSPREYSPUR_HTTP_RESPONSESYNTAX_H

#include "ospreyspur/Http/HttpTypes.h"

#include <boost/system/error_code.hpp>

#include <string_view>

namespace ospreyspur {

/// Whether \p text may be the beginning of a status line that has not arrived
/// completely.
bool mayBeginStatusLine(std::string_view text);

/// Checks a status line without its line end. The status has to be from 100 to
/// 599. Errors: those of Beast's parser.
boost::system::error_code checkStatusLine(std::string_view line);

/// Checks the line of a field without its line end. A line that begins with a
/// blank is none, although old versions of HTTP took it for a part of the
/// line before it.
boost::system::error_code checkFieldLine(std::string_view line);

/// Checks that \p head says in one way where the body ends: by one length, by
/// chunks and no other coding, or by the end of the connection.
boost::system::error_code
checkFraming(const boost::beast::http::response_header<> &head);

/// Checks that the names of all fields of \p message are tokens.
boost::system::error_code
checkFieldNames(const boost::beast::http::fields &fields);

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_RESPONSESYNTAX_H
