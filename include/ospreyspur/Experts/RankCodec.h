//===- RankCodec.h - an engine's orders and state as JSON -------*- C++ -*-===//
//
// The form in which an agent and its engine speak about map changes.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_EXPERTS_RANKCODEC_H
#define OSPREYSPUR_EXPERTS_RANKCODEC_H

#include "ospreyspur/Experts/RankState.h"
#include "ospreyspur/Support/Result.h"

#include <string>
#include <string_view>

namespace ospreyspur {

/// The path at which an engine takes orders.
inline constexpr char RankOrderPath[] = "/rank/orders";

std::string formatRankOrder(const RankOrder &order);
std::string formatRankReply(const RankReply &reply);

/// Reads formatRankOrder()'s text. Errors: BadRequest.
Result<RankOrder> parseRankOrder(std::string_view text);
/// Reads formatRankReply()'s text. Errors: BadRequest.
Result<RankReply> parseRankReply(std::string_view text);

} // namespace ospreyspur

#endif // OSPREYSPUR_EXPERTS_RANKCODEC_H
