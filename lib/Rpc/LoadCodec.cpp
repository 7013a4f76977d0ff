//===- LoadCodec.cpp - load reports as datagrams --------------------------===//
//
// See LoadCodec.h.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Rpc/LoadCodec.h"

#include "CrashCodec.h"

#include "generated/peer.pb.h"

#include <algorithm>
#include <cmath>

using namespace ospreyspur;

std::string ospreyspur::encodeLoad(const LoadReport &report) {
  wire::LoadReport out;
  out.set_node(report.Node);
  for (const EndpointLoad &it : report.Loads) {
    wire::EndpointLoad *row = out.add_loads();
    row->set_endpoint(it.Endpoint.get());
    row->set_running(it.Running);
    row->set_unread(it.Unread);
    row->set_pace(static_cast<float>(it.Pace));
  }
  encodeCrashes(report.Crashes, out);
  for (LifeDigest it : report.Replaced)
    out.add_replaced(it.get());
  return out.SerializeAsString();
}

/// Replaced endpoints that are taken of a report at most.
static constexpr int MaxReplaced = 64;
/// Slower endpoints serve nobody.
static constexpr double MaxPace = 100;

/// Neither a number that is none nor one below 1 says anything.
static double soundPace(double told) {
  return std::isfinite(told) && told >= 1 ? std::min(told, MaxPace) : 0;
}

std::optional<LoadReport> ospreyspur::decodeLoad(std::string_view bytes) {
  wire::LoadReport in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return std::nullopt;
  LoadReport out;
  out.Node = in.node();
  for (const wire::EndpointLoad &it : in.loads())
    out.Loads.push_back({EndpointId(it.endpoint()), it.running(), it.unread(),
                         soundPace(it.pace())});
  out.Crashes = decodeCrashes(in);
  for (int i = 0; i < std::min(in.replaced_size(), MaxReplaced); ++i)
    out.Replaced.emplace_back(in.replaced(i));
  return out;
}
