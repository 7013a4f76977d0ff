//===- RankCodec.h - an engine's orders and state as JSON -------*- C++ -*-===//
//
// The messages between an agent and its engine about map changes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_RANKCODEC_H
#define OSPREYSPUR_EXPERTS_RANKCODEC_H

#include "ospreyspur/Experts/RankState.h"
#include "ospreyspur/Support/Result.h"

#include <string>
#include <string_view>

namespace ospreyspur {

/// The HTTP path at which an engine accepts orders.
inline constexpr char RankOrderPath[] = "/rank/orders";

std::string formatRankOrder(const RankOrder &order);
std::string formatRankReply(const RankReply &reply);

/// Parses the output of formatRankOrder(). Errors: BadRequest.
Result<RankOrder> parseRankOrder(std::string_view text);
/// Parses the output of formatRankReply(). Errors: BadRequest.
Result<RankReply> parseRankReply(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKCODEC_H
