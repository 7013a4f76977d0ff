//===- RetryBudget.h - keeps retries a fraction of requests -----*- C++ -*-===//
//
// Each request of a workspace earns a fraction of a retry, so that retries
// cannot multiply the load when many endpoints fail together.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_ROUTING_RETRYBUDGET_H
#define OSPREYSPUR_ROUTING_RETRYBUDGET_H

#include "ospreyspur/Support/Ids.h"

#include <unordered_map>

namespace ospreyspur {

/// The retry allowances of all workspaces at one entry.
class RetryBudget {
public:
  /// Each request earns \p ratio retries; at most \p reserve are saved up.
  RetryBudget(double ratio, double reserve) : Ratio(ratio), Reserve(reserve) {}

  /// Notes a new request of \p workspace.
  void earn(const WorkspaceId &workspace);

  /// Takes one retry from the allowance; false if there is none.
  bool spend(const WorkspaceId &workspace);

private:
  double &balanceOf(const WorkspaceId &workspace);

  double Ratio;
  double Reserve;
  std::unordered_map<WorkspaceId, double> Balances;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_RETRYBUDGET_H
