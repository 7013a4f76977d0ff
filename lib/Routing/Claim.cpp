//===- Claim.cpp - the text form of claims --------------------------------===//
//
// The format is "<fingerprint> <ticket>"; neither part contains spaces.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/Claim.h"

#include "ospreyspur/Support/Digest.h"

using namespace ospreyspur;

std::string ospreyspur::claimKey(const WorkspaceId &workspace,
                                 const std::string &key) {
  return "claims/" + sha256Hex(workspace.get() + '\n' + key);
}

std::string ospreyspur::fingerprint(const CallerRequest &request) {
  return sha256Hex(request.Service.get() + '\n' + request.Method + '\n' +
                   request.Target + '\n' + request.Body);
}

std::string ospreyspur::formatClaim(const Claim &claim) {
  return claim.Fingerprint + ' ' + formatTicket(claim.Permit);
}

Result<Claim> ospreyspur::parseClaim(const std::string &text) {
  std::size_t space = text.find(' ');
  if (space == std::string::npos)
    return Error{ResultCode::PlatformBadAnswer, "the claim has no ticket"};
  Result<Ticket> ticket = parseTicket(text.substr(space + 1));
  if (!ticket)
    return Error{ResultCode::PlatformBadAnswer, ticket.error().Detail};
  return Claim{text.substr(0, space), ticket.value()};
}
