//===- StrongType.h - distinct types for ids and counts ---------*- C++ -*-===//
//
// Wraps a value in a distinct type, so that an endpoint's id cannot be passed
// where a workspace's id is expected. The wrapper adds only comparison and
// hashing.
//
//===----------------------------------------------------------------------===//

#ifndef OSPREYSPUR_SUPPORT_STRONGTYPE_H
#define OSPREYSPUR_SUPPORT_STRONGTYPE_H

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace ospreyspur {

/// A value of type \p Rep that does not convert to a type with another tag.
template <typename Tag, typename Rep> class StrongType {
public:
  StrongType() = default;
  explicit constexpr StrongType(Rep value) : Value(std::move(value)) {}

  /// The wrapped value.
  constexpr const Rep &get() const { return Value; }

  friend auto operator<=>(const StrongType &, const StrongType &) = default;
  friend bool operator==(const StrongType &, const StrongType &) = default;

private:
  Rep Value{};
};

} // namespace ospreyspur

namespace std {
template <typename Tag, typename Rep>
struct hash<ospreyspur::StrongType<Tag, Rep>> {
  size_t operator()(const ospreyspur::StrongType<Tag, Rep> &id) const {
    return hash<Rep>()(id.get());
  }
};
} // namespace std

#endif // OSPREYSPUR_SUPPORT_STRONGTYPE_H
