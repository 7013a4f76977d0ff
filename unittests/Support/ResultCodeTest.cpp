//===- ResultCodeTest.cpp - result codes match their documentation --------===//
//
// docs/RESULT-CODES.md must contain exactly the rows of ResultCodes.def.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Support/ResultCode.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

using namespace ospreyspur;

TEST_CASE("docs/RESULT-CODES.md contains the rows of the result table") {
  std::vector<std::string> expected;
  for (const ResultInfo &it : allResults()) {
    std::ostringstream os;
    os << "| " << static_cast<unsigned>(it.Code) << " | " << it.Name << " | "
       << it.HttpStatus << " | " << toString(it.Kind) << " | " << it.Message
       << " |";
    expected.push_back(os.str());
  }
  std::ifstream is(OSPREYSPUR_SOURCE_DIR "/docs/RESULT-CODES.md");
  std::vector<std::string> found;
  for (std::string line; std::getline(is, line);)
    if (line.starts_with("| ") && line[2] >= '0' && line[2] <= '9')
      found.push_back(line);
  CHECK(found == expected);
}
