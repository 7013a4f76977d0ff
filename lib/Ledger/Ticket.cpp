//===- Ticket.cpp - the text form of tickets ------------------------------===//
//
// The format is
// "1.<issuer>.<sequence>.<expires>.<mac>.<endpoint>.<workspace>", with numbers
// in hex and strings hex-encoded, so that a ticket is a valid header token.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Ledger/Ticket.h"

#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

#include <charconv>
#include <cstdint>
#include <vector>

using namespace ospreyspur;

static constexpr std::size_t MaxTicketText = 2048;
static constexpr std::size_t TicketFields = 7;
static constexpr std::string_view TicketFormat = "1";

static std::string hexNumber(std::uint64_t n) {
  char buf[16];
  auto [end, ec] = std::to_chars(std::begin(buf), std::end(buf), n, 16);
  return {std::begin(buf), end};
}

static bool parseHexNumber(std::string_view text, std::uint64_t &n) {
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n, 16);
  return ec == std::errc() && end == text.data() + text.size();
}

static std::string hexText(const std::string &text) {
  return boost::algorithm::hex_lower(text);
}

static bool parseHexText(const std::string &text, std::string &out) {
  try {
    out = boost::algorithm::unhex(text);
    return true;
  } catch (const boost::algorithm::hex_decode_error &) {
    return false;
  }
}

std::string ospreyspur::formatTicket(const Ticket &ticket) {
  auto expires =
      static_cast<std::uint64_t>(ticket.Expires.time_since_epoch().count());
  std::string text(TicketFormat);
  text += '.' + hexNumber(ticket.Id.Issuer.get());
  text += '.' + hexNumber(ticket.Id.Sequence.get());
  text += '.' + hexNumber(expires);
  text += '.' + hexText(ticket.Mac);
  text += '.' + hexText(ticket.Endpoint.get());
  text += '.' + hexText(ticket.Workspace.get());
  return text;
}

Result<Ticket> ospreyspur::parseTicket(std::string_view text) {
  Error bad{ResultCode::BadTicket, "the ticket's text is malformed"};
  if (text.size() > MaxTicketText)
    return bad;
  std::vector<std::string> fields;
  boost::algorithm::split(fields, text, boost::algorithm::is_any_of("."));
  if (fields.size() != TicketFields || fields[0] != TicketFormat)
    return bad;

  std::uint64_t issuer = 0;
  std::uint64_t sequence = 0;
  std::uint64_t expires = 0;
  if (!parseHexNumber(fields[1], issuer) ||
      !parseHexNumber(fields[2], sequence) ||
      !parseHexNumber(fields[3], expires))
    return bad;

  Ticket ticket;
  std::string endpoint;
  std::string workspace;
  if (!parseHexText(fields[4], ticket.Mac) ||
      !parseHexText(fields[5], endpoint) || !parseHexText(fields[6], workspace))
    return bad;
  ticket.Id = {Incarnation(issuer), TicketSequence(sequence)};
  ticket.Expires = TimePoint(Duration(static_cast<Duration::rep>(expires)));
  ticket.Endpoint = EndpointId(std::move(endpoint));
  ticket.Workspace = WorkspaceId(std::move(workspace));
  return ticket;
}
