//===- OperatorClient.h - the operators' commands ---------------*- C++ -*-===//
//
// What `ospreyspur ctl` does: one request to the admin port of any process.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_PROCESS_OPERATORCLIENT_H
#define OSPREYSPUR_PROCESS_OPERATORCLIENT_H

#include <string>

namespace ospreyspur {

/// One command of an operator.
struct OperatorCommand {
  /// "get", "put" or "delete".
  std::string Verb;
  /// "status", "audit", "config" or "<section>/<name>".
  std::string Object;
  /// The admin port's "ip:port".
  std::string Address;
  std::string Token;
  /// The object's JSON for put.
  std::string Body;
  /// Tag that the object must still have; empty for any.
  std::string IfMatch;
  /// Names the change; empty draws one.
  std::string ChangeId;
};

/// Sends \p command and prints the answer; the process's exit status: 0 done,
/// 1 refused, 2 wrong command, 3 fate unknown.
int runOperatorCommand(const OperatorCommand &command);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_OPERATORCLIENT_H
