//===- ByteBudget.h - a bound on bytes held in memory -----------*- C++ -*-===//
//
// Bounds the sum of what many holders keep, where a bound for each holder would
// allow too much. Several threads may use it.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_BYTEBUDGET_H
#define OSPREYSPUR_SUPPORT_BYTEBUDGET_H

#include <atomic>
#include <cstddef>
#include <limits>

namespace ospreyspur {

/// Bytes that the holders of one kind of data may keep together.
class ByteBudget {
public:
  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  explicit ByteBudget(std::size_t limit = Unlimited) : Limit(limit) {}
  ByteBudget(const ByteBudget &) = delete;
  ByteBudget &operator=(const ByteBudget &) = delete;

  /// Takes \p n bytes; returns false, and takes none, if fewer are left.
  bool take(std::size_t n) {
    std::size_t used = Used.load();
    do {
      if (n > Limit - used)
        return false;
    } while (!Used.compare_exchange_weak(used, used + n));
    return true;
  }
  /// Returns \p n bytes that were taken.
  void give(std::size_t n) { Used -= n; }

  std::size_t used() const { return Used; }
  std::size_t limit() const { return Limit; }

private:
  const std::size_t Limit;
  std::atomic<std::size_t> Used = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_BYTEBUDGET_H
