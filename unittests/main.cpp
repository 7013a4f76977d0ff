//===- main.cpp - runs the unit tests -------------------------------------===//
//
// doctest's own main, in one place.
//
//===----------------------------------------------------------------------===//

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
