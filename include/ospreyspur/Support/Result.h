//===- Result.h - a value or a numbered error -------------------*- C++ -*-===//
//
// The return type of functions that can fail: Boost.Outcome with Error as its
// error type.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_RESULT_H
#define OSPREYSPUR_SUPPORT_RESULT_H

#include "ospreyspur/Support/ResultCode.h"

#include <boost/outcome/result.hpp>

#include <string>

namespace ospreyspur {

/// A numbered error and a lower-case sentence that describes it.
struct Error {
  ResultCode Code = ResultCode::Ok;
  std::string Detail;
};

/// A \p T or an Error. Accessing the one that is absent throws
/// bad_result_access.
template <typename T> using Result = boost::outcome_v2::checked<T, Error>;

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_RESULT_H
