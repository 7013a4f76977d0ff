//===- main.cpp - runs the unit tests -------------------------------------===//
//
// Defines doctest's main function for all unit tests.
//
//===----------------------------------------------------------------------===//

#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
