//===- ByteReservation.h - bytes taken from a budget ------------*- C++ -*-===//
//
// See ByteBudget.h.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_BYTERESERVATION_H
#define OSPREYSPUR_SUPPORT_BYTERESERVATION_H

#include "ospreyspur/Support/ByteBudget.h"

#include <memory>
#include <utility>

namespace ospreyspur {

/// What one holder has taken from a budget; returned on destruction.
class ByteReservation {
public:
  explicit ByteReservation(std::shared_ptr<ByteBudget> budget)
      : Budget(std::move(budget)) {}
  ByteReservation(ByteReservation &&other) noexcept
      : Budget(std::move(other.Budget)), Held(std::exchange(other.Held, 0)) {}
  ByteReservation &operator=(ByteReservation &&other) noexcept {
    std::swap(Budget, other.Budget);
    std::swap(Held, other.Held);
    return *this;
  }
  ~ByteReservation() { reset(); }

  /// Takes \p n more bytes; returns false, and takes none, if fewer are left.
  bool grow(std::size_t n) {
    if (!Budget->take(n))
      return false;
    Held += n;
    return true;
  }
  /// Returns all bytes.
  void reset() {
    if (Held > 0)
      Budget->give(std::exchange(Held, 0));
  }

  std::size_t held() const { return Held; }

private:
  std::shared_ptr<ByteBudget> Budget;
  std::size_t Held = 0;
};

} // namespace ospreyspur

#endif // OSPREYSPUR_SUPPORT_BYTERESERVATION_H
