//===- ResponseReader.h - reads responses from a connection -----*- C++ -*-===//
//
// The only place where responses are read, whether from endpoints, ranks, the
// store or other processes. It accepts what ResponseSyntax.h calls a response
// and skips interim responses, and bounds the size of all that it reads. The
// caller bounds the time: by a timeout of the stream, or by closing it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_HTTP_RESPONSEREADER_H
#define OSPREYSPUR_HTTP_RESPONSEREADER_H

#include "ospreyspur/Http/HttpTypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ospreyspur {

/// Limits on the size of one response.
struct ResponseLimits {
  /// The status line and all fields, those of interim responses included.
  std::size_t HeadBytes = 64U << 10U;
  /// The body. Chunk headers and trailers may together be as large.
  std::uint64_t BodyBytes = 64U << 20U;
};

/// Reads the responses to one request. After an error the connection is of no
/// further use.
class ResponseReader {
public:
  using ErrorCode = boost::system::error_code;

  /// The size that a buffer needs for \p limits.
  static constexpr std::size_t bufferBytes(const ResponseLimits &limits) {
    return 2 * limits.HeadBytes;
  }

  /// Whether \p ec says that the bytes received are no response, rather than
  /// that the connection ended.
  static bool isSyntaxError(const ErrorCode &ec);

  /// Reads from \p stream by way of \p buf, whose maximum size is at least
  /// bufferBytes(). \p method is that of the request.
  ResponseReader(boost::beast::tcp_stream &stream,
                 boost::beast::flat_buffer &buf,
                 boost::beast::http::verb method, ResponseLimits limits)
      : Stream(stream), Buffer(buf), Method(method), Limits(limits) {}

  /// Reads the head of the next response that is not an interim one. Errors:
  /// those of the stream and of Beast's parser; end_of_stream if the connection
  /// closed before a response.
  boost::asio::awaitable<ErrorCode> readHead();

  /// Reads part of the body into \p data, until isDone(). Errors: as above;
  /// \p data is valid in any case. Takes all that has arrived, as chunks may be
  /// small.
  boost::asio::awaitable<ErrorCode> readSome(std::string &data);

  /// Like readSome(), but takes data of one chunk only, for callers that
  /// measure the time between chunks.
  boost::asio::awaitable<ErrorCode> readChunk(std::string &data);

  /// Reads the rest of the body. Errors: as above.
  boost::asio::awaitable<ErrorCode> readRest(std::string &body);

  /// The head of the current response, without trailers.
  const boost::beast::http::response_header<> &head() const { return Head; }
  /// Whether any byte has arrived.
  bool hasReceived() const { return HasReceived; }
  /// Whether the response is complete.
  bool isDone() const { return Parser->is_done(); }
  /// Whether nothing but the end of the connection marks the end of the
  /// response. A server that exits ends its connections in the same way.
  bool endsWithConnection() const { return Parser->need_eof(); }
  /// Whether the response is complete, and the connection carries nothing else
  /// and stays open.
  bool mayKeepConnection() const {
    return isDone() && Parser->keep_alive() && Buffer.size() == 0;
  }

private:
  using BodyParser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<ErrorCode> receiveHead();
  boost::asio::awaitable<ErrorCode> receive();
  boost::asio::awaitable<ErrorCode> receiveBody();
  boost::asio::awaitable<ErrorCode> readData(std::string &data, bool readsOn);
  ErrorCode parseBody();
  ErrorCode checkLines();
  ErrorCode checkLine(std::string_view line);
  ErrorCode parseHead();
  std::string_view buffered() const;

  boost::beast::tcp_stream &Stream;
  boost::beast::flat_buffer &Buffer;
  boost::beast::http::verb Method;
  ResponseLimits Limits;
  std::optional<BodyParser> Parser;
  boost::beast::http::response_header<> Head;
  /// Bytes of the heads that were read for the current response, those of
  /// interim responses included.
  std::size_t HeadBytes = 0;
  /// Bytes of the current head that have been checked, whole lines only.
  std::size_t CheckedBytes = 0;
  bool IsHeadChecked = false;
  bool HasReceived = false;
  /// Bytes of the chunk headers and trailers of the current response.
  std::uint64_t FramingBytes = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_HTTP_RESPONSEREADER_H
