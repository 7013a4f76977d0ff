//===- ResponseReader.cpp - reads responses from a connection -------------===//
//
// The head is checked line by line as it arrives and given to the parser whole,
// because the parser's own limit does not hold for a head that arrives in
// whole lines.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Http/ResponseReader.h"

#include "ospreyspur/Http/ResponseSyntax.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

using namespace ospreyspur;
namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
static constexpr std::size_t ReadBytes = 16U << 10U;
static constexpr std::string_view LineEnd = "\r\n";

bool ResponseReader::isSyntaxError(const ErrorCode &ec) {
  const auto &category = make_error_code(http::error::bad_field).category();
  return ec.category() == category && ec != http::error::end_of_stream &&
         ec != http::error::partial_message;
}

std::string_view ResponseReader::buffered() const {
  auto data = Buffer.cdata();
  return {static_cast<const char *>(data.data()), data.size()};
}

asio::awaitable<ResponseReader::ErrorCode> ResponseReader::readHead() {
  HeadBytes = 0;
  for (;;) {
    ErrorCode ec = co_await receiveHead();
    if (!ec)
      ec = parseHead();
    if (ec)
      co_return ec;
    auto status = http::to_status_class(Head.result_int());
    if (status != http::status_class::informational)
      co_return ErrorCode();
  }
}

/// Receives until the buffer begins with a checked head.
asio::awaitable<ResponseReader::ErrorCode> ResponseReader::receiveHead() {
  CheckedBytes = 0;
  IsHeadChecked = false;
  for (;;) {
    ErrorCode ec = checkLines();
    if (ec || IsHeadChecked)
      co_return ec;
    if (HeadBytes + Buffer.size() >= Limits.HeadBytes)
      co_return http::error::header_limit;
    bool isEmpty = Buffer.size() == 0;
    ec = co_await receive();
    if (ec == asio::error::eof)
      co_return isEmpty ? http::error::end_of_stream
                        : http::error::partial_message;
    if (ec)
      co_return ec;
  }
}

/// Checks the lines that have arrived and were not checked yet.
ResponseReader::ErrorCode ResponseReader::checkLines() {
  while (!IsHeadChecked) {
    std::string_view rest = buffered().substr(CheckedBytes);
    std::size_t end = rest.find('\n');
    if (end == std::string_view::npos)
      return CheckedBytes > 0 || mayBeginStatusLine(rest)
                 ? ErrorCode()
                 : http::error::bad_version;
    std::string_view line = rest.substr(0, end + 1);
    if (!line.ends_with(LineEnd))
      return http::error::bad_line_ending;
    if (ErrorCode ec = checkLine(line.substr(0, line.size() - LineEnd.size())))
      return ec;
    CheckedBytes += line.size();
  }
  return {};
}

ResponseReader::ErrorCode ResponseReader::checkLine(std::string_view line) {
  if (CheckedBytes == 0)
    return checkStatusLine(line);
  IsHeadChecked = line.empty();
  return line.empty() ? ErrorCode() : checkFieldLine(line);
}

/// Parses the checked head at the start of the buffer.
ResponseReader::ErrorCode ResponseReader::parseHead() {
  HeadBytes += CheckedBytes;
  if (HeadBytes > Limits.HeadBytes)
    return http::error::header_limit;
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeadBytes) + 1);
  Parser->body_limit(Limits.BodyBytes);
  Parser->skip(Method == http::verb::head);
  FramingBytes = 0;
  ErrorCode ec;
  Parser->put(asio::buffer(Buffer.cdata(), CheckedBytes), ec);
  Buffer.consume(CheckedBytes);
  if (ec)
    return ec;
  Head = std::move(Parser->get().base());
  // This side asks for no other protocol.
  if (Head.result() == http::status::switching_protocols)
    return http::error::bad_status;
  return checkFraming(Head);
}

asio::awaitable<ResponseReader::ErrorCode> ResponseReader::receive() {
  std::size_t n = std::min(ReadBytes, Buffer.max_size() - Buffer.size());
  if (n == 0)
    co_return http::error::buffer_overflow;
  auto [ec, received] =
      co_await Stream.async_read_some(Buffer.prepare(n), AsTuple);
  Buffer.commit(received);
  HasReceived = HasReceived || received > 0;
  co_return ec;
}

/// Parses part of what the buffer holds; need_more if that is too little.
ResponseReader::ErrorCode ResponseReader::parseBody() {
  if (Buffer.size() == 0)
    return http::error::need_more;
  ErrorCode ec;
  std::size_t room = Parser->get().body().size;
  std::size_t n = Parser->put(Buffer.cdata(), ec);
  Buffer.consume(n);
  FramingBytes += n - (room - Parser->get().body().size);
  if (FramingBytes > Limits.BodyBytes)
    return http::error::body_limit;
  return ec == http::error::need_buffer ? ErrorCode() : ec;
}

asio::awaitable<ResponseReader::ErrorCode> ResponseReader::receiveBody() {
  ErrorCode ec = co_await receive();
  if (ec == asio::error::eof)
    Parser->put_eof(ec);
  co_return ec;
}

/// Reads until there is data, and then on as far as \p readsOn and the buffer
/// allow.
asio::awaitable<ResponseReader::ErrorCode>
ResponseReader::readData(std::string &data, bool readsOn) {
  std::array<char, ReadBytes> bytes;
  auto &body = Parser->get().body();
  body.data = bytes.data();
  body.size = bytes.size();
  body.more = true;
  ErrorCode ec;
  while (!ec && body.size > 0 && !isDone()) {
    ec = parseBody();
    bool hasData = body.size < bytes.size();
    if (ec == http::error::need_more && !hasData)
      ec = co_await receiveBody();
    else if (ec == http::error::need_more)
      ec = {};
    else if (!hasData || readsOn)
      continue;
    if (hasData)
      break;
  }
  data.assign(bytes.data(), bytes.size() - body.size);
  // The parser has put trailers in place of the fields.
  if (!ec && isDone())
    ec = checkFieldNames(Parser->get());
  co_return ec;
}

asio::awaitable<ResponseReader::ErrorCode>
ResponseReader::readChunk(std::string &data) {
  co_return co_await readData(data, false);
}

asio::awaitable<ResponseReader::ErrorCode>
ResponseReader::readSome(std::string &data) {
  co_return co_await readData(data, true);
}

asio::awaitable<ResponseReader::ErrorCode>
ResponseReader::readRest(std::string &body) {
  while (!isDone()) {
    std::string data;
    ErrorCode ec = co_await readSome(data);
    body += data;
    if (ec)
      co_return ec;
  }
  co_return ErrorCode();
}
