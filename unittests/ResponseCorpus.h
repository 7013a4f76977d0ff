//===- ResponseCorpus.h - responses that are broken, or odd but sound -----===//
//
// Bytes that endpoints in trouble may send in place of a response, and unusual
// responses that the protocol allows. Both carry all marks of an endpoint's own
// response, so that only their form tells them apart.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_UNITTESTS_RESPONSECORPUS_H
#define OSPREYSPUR_UNITTESTS_RESPONSECORPUS_H

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace ospreyspur::test {

/// Bytes that a server sends before it closes the connection. "{id}" stands for
/// the id of the request.
struct RawResponse {
  std::string Name;
  std::string Bytes;
};

/// A sound response as the caller has to receive it.
struct SoundResponse {
  RawResponse Sent;
  unsigned Status = 0;
  std::string Body;
};

/// The body of the responses that have one.
inline std::string responseBody() { return "ok"; }

/// The headers by which an endpoint marks a response as its own.
inline std::string responseMarks() {
  return "Request-Id: {id}\r\nReplica-Stamp: s\r\nReplica-Id: e0\r\n"
         "Content-Type: text/plain\r\n";
}

/// A response with this status line and these further headers, each with its
/// line end, followed by \p body.
inline std::string makeResponse(const std::string &statusLine,
                                const std::string &headers,
                                const std::string &body = responseBody()) {
  return statusLine + "\r\n" + responseMarks() + headers + "\r\n" + body;
}

inline std::string framed(const std::string &statusLine = "HTTP/1.1 200 OK",
                          const std::string &headers = "") {
  return makeResponse(statusLine, headers + "Content-Length: 2\r\n");
}

inline std::string chunked(const std::string &body) {
  return makeResponse("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n",
                      body);
}

/// Responses whose status line is no status line.
inline std::vector<RawResponse> brokenStatusLines() {
  std::vector<RawResponse> out;
  for (const char *line : {"HTTP/1.1 000 OK",
                           "HTTP/1.1 001 OK",
                           "HTTP/1.1 099 OK",
                           "HTTP/1.1 600 OK",
                           "HTTP/1.1 777 OK",
                           "HTTP/1.1 999 OK",
                           "HTTP/1.1 20 OK",
                           "HTTP/1.1 2000 OK",
                           "HTTP/1.1 2x0 OK",
                           "HTTP/1.1 -20 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 OK",
                           "HTTP/1.1",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/1.x 200 OK",
                           "http/1.1 200 OK",
                           "ICY 200 OK",
                           "200 OK",
                           "",
                           "HTTP/1.1 101 Switching Protocols"})
    out.push_back({std::string("status line ") + line, framed(line)});
  for (char c : {'\x01', '\x7f', '\0', '\n', '\r'})
    out.push_back({"byte " + std::to_string(int(c)) + " in the reason",
                   framed(std::string("HTTP/1.1 200 O") + c + "K")});
  return out;
}

/// Responses with a line in the head that is no field.
inline std::vector<RawResponse> brokenFields() {
  std::vector<RawResponse> out;
  auto add = [&out](const std::string &name, const std::string &line) {
    out.push_back({name, framed("HTTP/1.1 200 OK", line + "\r\n")});
  };
  for (int c : {0x00, 0x01, 0x08, 0x09, 0x0a, 0x0b, 0x0d, 0x1f, 0x20,
                0x22, 0x28, 0x2c, 0x2f, 0x3b, 0x3d, 0x40, 0x5b, 0x5c,
                0x7b, 0x7f, 0x80, 0xa0, 0xe9, 0xfc, 0xfd, 0xfe, 0xff}) {
    std::string byte(1, static_cast<char>(c));
    std::string number = std::to_string(c);
    add("byte " + number + " in a name", "X-A" + byte + "b: 1");
    add("byte " + number + " before a name", byte + "X-A: 1");
    add("byte " + number + " after a name", "X-A" + byte + ": 1");
  }
  for (int c : {0x00, 0x01, 0x0a, 0x0b, 0x0d, 0x1f, 0x7f})
    add("byte " + std::to_string(c) + " in a value",
        std::string("X-A: a") + static_cast<char>(c) + "b");
  add("no name", ": 1");
  add("no colon", "garbage");
  // A folded line can't be told from a field whose name begins with a blank.
  add("folded line", "X-A: a\r\n b");
  // The line that frames the body is the one that is broken.
  for (const char *line : {"Content-Length : 2", "Content-Length\t: 2",
                           "Content\x01Length: 2", " Content-Length: 2"})
    out.push_back(
        {std::string("framing line ") + line,
         makeResponse("HTTP/1.1 200 OK", std::string(line) + "\r\n", "okok")});
  out.push_back({"blank line start",
                 "HTTP/1.1 200 OK\r\n Request-Id: {id}\r\n" + responseMarks() +
                     "Content-Length: 2\r\n\r\nok"});
  return out;
}

/// Responses whose head does not say where their body ends.
inline std::vector<RawResponse> brokenFraming() {
  std::vector<RawResponse> out;
  auto add = [&out](const std::string &headers, const std::string &body,
                    const std::string &line = "HTTP/1.1 200 OK") {
    out.push_back(
        {line + " with " + headers, makeResponse(line, headers, body)});
  };
  std::string chunks = "2\r\nok\r\n0\r\n\r\n";
  add("Transfer-Encoding: gzip\r\n", "ok");
  add("Transfer-Encoding: identity\r\n", "ok");
  add("Transfer-Encoding: \r\n", "ok");
  add("Transfer-Encoding: chunked, gzip\r\n", chunks);
  add("Transfer-Encoding: gzip, chunked\r\n", chunks);
  add("Transfer-Encoding: chunked, chunked\r\n", chunks);
  add("Transfer-Encoding: chunked;q=1\r\n", chunks);
  add("Transfer-Encoding: xchunked\r\n", chunks);
  add("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks);
  add("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks);
  add("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", chunks);
  add("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", chunks);
  add("Transfer-Encoding: gzip\r\nContent-Length: 2\r\n", "ok");
  add("Content-Length: 2\r\nTransfer-Encoding: gzip\r\n", "ok");
  add("Transfer-Encoding: chunked\r\n", chunks, "HTTP/1.0 200 OK");
  for (const char *length :
       {"", "x", "-2", "+2", "0x2", "2x", "2 2", "2.0", "2;", "2, 3", "2,",
        "18446744073709551618", "99999999999999999999999"})
    add(std::string("Content-Length: ") + length + "\r\n", "ok");
  add("Content-Length: 2\r\nContent-Length: 3\r\n", "okk");
  add("Content-Length: 3\r\nContent-Length: 2\r\n", "okk");
  return out;
}

/// Responses whose head is sound and whose body is not whole.
inline std::vector<RawResponse> brokenBodies() {
  std::vector<RawResponse> out = {
      {"body shorter than its length",
       makeResponse("HTTP/1.1 200 OK", "Content-Length: 3\r\n")},
      {"no body",
       makeResponse("HTTP/1.1 200 OK", "Content-Length: 3\r\n", "")}};
  for (const char *body : {"",
                           "2\r\nok",
                           "2\r\nok\r\n",
                           "2\r\nok\r\n0",
                           "2\r\nok\r\n0\r\n",
                           "2\r\nok\r\n0\r\nX-A: 1\r\n",
                           "2\r\nok\r\n0\r\nX-A 1: 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX-A : 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nX\xff: 1\r\n\r\n",
                           "2\r\nok\r\n0\r\nno colon\r\n\r\n",
                           "2\r\nokay\r\n0\r\n\r\n",
                           "2\r\nok0\r\n\r\n",
                           "zz\r\nok\r\n0\r\n\r\n",
                           "-2\r\nok\r\n0\r\n\r\n",
                           "0x2\r\nok\r\n0\r\n\r\n",
                           " 2\r\nok\r\n0\r\n\r\n",
                           "\r\nok\r\n0\r\n\r\n",
                           "2\nok\n0\n\n",
                           "2;\x01=1\r\nok\r\n0\r\n\r\n",
                           "2 x\r\nok\r\n0\r\n\r\n",
                           "10000000000000002\r\nok\r\n0\r\n\r\n",
                           "fffffffffffffffff\r\nok\r\n0\r\n\r\n"})
    out.push_back({std::string("chunks ") + body, chunked(body)});
  return out;
}

/// Bytes that do not even begin like a response, and heads that end early.
inline std::vector<RawResponse> brokenStarts() {
  return {{"nothing", ""},
          {"an empty line", "\r\n"},
          {"zeros", std::string(64, '\0')},
          {"a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
          {"a body only", "ok"},
          {"a status line only", "HTTP/1.1 200 OK\r\n"},
          {"half a head", "HTTP/1.1 200 OK\r\n" + responseMarks()},
          {"an interim response only", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"a broken interim response",
           "HTTP/1.1 100 Continue\r\nX-A : 1\r\n\r\n" + framed()}};
}

/// Bytes from whose head nothing may be used.
inline std::vector<RawResponse> brokenHeads() {
  std::vector<RawResponse> out;
  for (const auto &part :
       {brokenStatusLines(), brokenFields(), brokenFraming(), brokenStarts()})
    out.insert(out.end(), part.begin(), part.end());
  return out;
}

inline std::vector<RawResponse> brokenResponses() {
  std::vector<RawResponse> out = brokenHeads();
  for (const RawResponse &it : brokenBodies())
    out.push_back(it);
  return out;
}

/// Responses that are unusual but sound.
inline std::vector<SoundResponse> soundResponses() {
  std::vector<SoundResponse> out;
  auto add = [&out](const std::string &name, const std::string &bytes,
                    unsigned status = 200,
                    const std::string &body = responseBody()) {
    out.push_back({{name, bytes}, status, body});
  };
  for (unsigned status : {200, 203, 226, 299, 300, 399, 400, 404, 418, 499})
    add("status " + std::to_string(status),
        framed("HTTP/1.1 " + std::to_string(status) + " Any"), status);
  for (const char *line :
       {"HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 a longer\treason",
        "HTTP/1.1 200 \xe9"})
    add(std::string("status line ") + line, framed(line));
  for (const char *line :
       {"x-a: 1", "X-A:1", "X-A:", "X-A: \t 1 \t ", "!#$%&'*+-.^_`|~09aZ: 1",
        "X-A: caf\xe9", "X-A: a\tb", "Connection: close",
        "Connection: close, X-A", "Keep-Alive: timeout=5", "Upgrade: h2c",
        "Trailer: X-A"})
    add(std::string("field ") + line,
        framed("HTTP/1.1 200 OK", std::string(line) + "\r\n"));
  for (const char *line :
       {"CONTENT-LENGTH:2", "Content-Length: 002", "Content-Length: 2, 2",
        "Content-Length: 2\r\nContent-Length: 2"})
    add(std::string("length ") + line,
        makeResponse("HTTP/1.1 200 OK", std::string(line) + "\r\n"));
  for (const char *line :
       {"Transfer-Encoding: Chunked", "transfer-encoding:chunked",
        "Transfer-Encoding: , chunked ,"})
    add(line, makeResponse("HTTP/1.1 200 OK", std::string(line) + "\r\n",
                           "2\r\nok\r\n0\r\n\r\n"));
  for (const char *body :
       {"1\r\no\r\n1\r\nk\r\n0\r\n\r\n", "0002\r\nok\r\n000\r\n\r\n",
        "2;a=b\r\nok\r\n0;c\r\n\r\n", "2 ; a=\"b c\"\r\nok\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n",
        "2\r\nok\r\n0\r\nReplica-Stamp: t\r\nReplica-Id: e9\r\n\r\n"})
    add(std::string("chunks ") + body, chunked(body));
  add("an unframed body", makeResponse("HTTP/1.1 200 OK", ""));
  add("an unframed body of HTTP/1.0", makeResponse("HTTP/1.0 200 OK", ""));
  add("an empty body",
      makeResponse("HTTP/1.1 200 OK", "Content-Length: 0\r\n", ""), 200, "");
  add("no content", makeResponse("HTTP/1.1 204 No Content", "", ""), 204, "");
  add("no content with a length",
      makeResponse("HTTP/1.1 204 No Content", "Content-Length: 0\r\n", ""), 204,
      "");
  add("not modified",
      makeResponse("HTTP/1.1 304 Not Modified", "Content-Length: 7\r\n", ""),
      304, "");
  add("an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + framed());
  add("interim responses with fields",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nReplica-Stamp: t\r\n\r\n"
      "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Any\r\n\r\n" +
          framed());
  return out;
}

/// Bytes without an end: some of them once, the others again and again.
struct EndlessResponse {
  std::string Name;
  std::string Bytes;
  std::string Repeated;
};

/// Heads, bodies and what frames them, each without an end.
inline std::vector<EndlessResponse> endlessResponses() {
  auto times = [](const std::string &text, std::size_t n) {
    std::string out;
    for (std::size_t i = 0; i < n; ++i)
      out += text;
    return out;
  };
  const std::string line = "HTTP/1.1 200 OK\r\n";
  const std::string unframed = makeResponse("HTTP/1.1 200 OK", "", "");
  return {
      {"zeros", "", std::string(4096, '\0')},
      {"a reason", "HTTP/1.1 200 ", std::string(4096, 'O')},
      {"a name", line, std::string(4096, 'X')},
      {"a value", line + "X-A: ", std::string(4096, 'x')},
      // The bytes of each repetition end within a field.
      {"fields", line + responseMarks() + "X", times("-A: 1\r\nX", 400)},
      {"interim responses", "", times("HTTP/1.1 100 Continue\r\n\r\n", 160)},
      {"a body", unframed, std::string(16384, 'x')},
      {"chunks", chunked(""), times("1\r\nx\r\n", 2048)},
      {"chunks with extensions", chunked(""),
       times("1;a=" + std::string(1000, 'b') + "\r\nx\r\n", 8)},
      {"a chunk size", chunked(""), std::string(4096, '0')},
      {"a chunk extension", chunked("1;a="), std::string(4096, 'b')},
      {"a trailer", chunked("0\r\nX-A: "), std::string(4096, 'x')},
      {"trailers", chunked("0\r\nX"), times("-A: 1\r\nX", 400)}};
}

/// \p whole cut off after every \p step bytes, with "{id}" replaced by \p id.
inline std::vector<RawResponse> cutOff(RawResponse whole, const std::string &id,
                                       std::size_t step) {
  whole.Bytes.replace(whole.Bytes.find("{id}"), 4, id);
  std::vector<RawResponse> out;
  for (std::size_t n = 0; n < whole.Bytes.size(); n += step)
    out.push_back({whole.Name + " cut at byte " + std::to_string(n),
                   whole.Bytes.substr(0, n)});
  return out;
}

/// The head of a response that ends with its connection, cut off.
inline std::vector<RawResponse> cutUnframedHeads(const std::string &id,
                                                 std::size_t step = 1) {
  return cutOff({"no length", makeResponse("HTTP/1.1 200 OK", "", "")}, id,
                step);
}

/// Sound responses that are cut off before their end.
inline std::vector<RawResponse> allCutResponses(const std::string &id,
                                                std::size_t step) {
  std::vector<RawResponse> out = cutUnframedHeads(id, step);
  for (const RawResponse &it :
       {RawResponse{"length", framed()},
        RawResponse{"no body", makeResponse("HTTP/1.1 204 No Content", "", "")},
        RawResponse{"chunks", chunked("1\r\no\r\n1\r\nk\r\n0\r\n\r\n")},
        RawResponse{"interim response",
                    "HTTP/1.1 100 Continue\r\n\r\n" + framed()}})
    for (RawResponse &cut : cutOff(it, id, step))
      out.push_back(std::move(cut));
  return out;
}

} // namespace ospreyspur::test

#endif // OSPREYSPUR_UNITTESTS_RESPONSECORPUS_H
