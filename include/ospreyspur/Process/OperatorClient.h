//===- OperatorClient.h - the operators' commands ---------------*- C++ -*-===//
//
// Implements `ospreyspur ctl`: one request to the admin port of any process.
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
  /// Entity tag that the object must still have; empty for any.
  std::string IfMatch;
  /// Identifies the change; if empty, the admin port generates one.
  std::string ChangeId;
};

/// Sends \p command and prints the response. Returns the exit status of the
/// process: 0 for success, 1 if the command was refused or could not be sent, 2
/// if it is malformed, 3 if it is not known whether the command took effect.
int runOperatorCommand(const OperatorCommand &command);

} // namespace ospreyspur

#endif // OSPREYSPUR_PROCESS_OPERATORCLIENT_H
