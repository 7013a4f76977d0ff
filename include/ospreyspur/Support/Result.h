//===- Result.h - a value or a numbered error -------------------*- C++ -*-===//
//
// The return type of fallible functions: Boost.Outcome with our error type.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_RESULT_H
#define OSPREYSPUR_SUPPORT_RESULT_H

#include "ospreyspur/Support/ResultCode.h"

#include <boost/outcome/result.hpp>

#include <string>

namespace ospreyspur {

/// A numbered error and a lower-case sentence that says what went wrong.
struct Error {
  ResultCode Code = ResultCode::Ok;
  std::string Detail;
};

/// A \p T, or an Error. Reading the wrong side throws bad_result_access.
template <typename T> using Result = boost::outcome_v2::checked<T, Error>;

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_RESULT_H
