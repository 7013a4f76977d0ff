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

/// The retry budgets of all workspaces at one entry.
class RetryBudget {
public:
  /// Each request earns \p ratio retries; a balance never exceeds \p reserve.
  RetryBudget(double ratio, double reserve) : Ratio(ratio), Reserve(reserve) {}

  /// Credits \p workspace for a new request.
  void earn(const WorkspaceId &workspace);

  /// Takes one retry from the budget; false if the budget is exhausted.
  bool spend(const WorkspaceId &workspace);

private:
  double &balanceOf(const WorkspaceId &workspace);

  double Ratio;
  double Reserve;
  std::unordered_map<WorkspaceId, double> Balances;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_ROUTING_RETRYBUDGET_H
