//===- RetryBudget.cpp - earning and spending retries ---------------------===//
//
// A workspace starts with a full reserve, so that a workspace with few requests
// may retry as well.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Routing/RetryBudget.h"

#include <algorithm>

using namespace ospreyspur;

void RetryBudget::earn(const WorkspaceId &workspace) {
  double &balance = balanceOf(workspace);
  balance = std::min(balance + Ratio, Reserve);
}

bool RetryBudget::spend(const WorkspaceId &workspace) {
  double &balance = balanceOf(workspace);
  if (balance < 1.0)
    return false;
  balance -= 1.0;
  return true;
}

double &RetryBudget::balanceOf(const WorkspaceId &workspace) {
  return Balances.try_emplace(workspace, Reserve).first->second;
}
