//===- ospreyspur.cpp - command line of all processes ---------------------===//
//
// Runs the command that the first argument names: a process role with its
// settings file, or a tool for operators.
//
//===----------------------------------------------------------------------===//

#include "ospreyspur/Config/ConfigDocument.h"
#include "ospreyspur/Config/SettingsReader.h"
#include "ospreyspur/Process/LogWriter.h"
#include "ospreyspur/Process/OperatorClient.h"
#include "ospreyspur/Process/Roles.h"
#include "ospreyspur/Rpc/GrpcThreads.h"

#include <boost/algorithm/string/trim.hpp>
#include <glog/logging.h>
#include <malloc.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

using namespace ospreyspur;

static constexpr char Version[] = "0.1.0";
static constexpr int UsageError = 2;

static std::optional<std::string> readFile(const std::string &path) {
  std::ifstream is(path, std::ios::binary);
  if (!is)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(is), {});
}

/// Parses the settings file \p path with \p read and prints all errors.
template <typename Read>
static auto loadSettings(const std::string &path, Read read)
    -> std::optional<decltype(read(std::declval<SettingsReader &>()))> {
  std::optional<std::string> text = readFile(path);
  if (!text) {
    SettingError error{ResultCode::SettingsUnreadable, path, 0, "",
                       "the file cannot be read"};
    std::cerr << toString(error) << '\n';
    return std::nullopt;
  }
  SettingsReader reader(*text, path);
  auto settings = read(reader);
  reader.finish();
  for (const SettingError &error : reader.errors())
    std::cerr << toString(error) << '\n';
  if (!reader.errors().empty())
    return std::nullopt;
  return settings;
}

static int checkConfig(const std::string &path) {
  std::optional<std::string> text = readFile(path);
  if (!text) {
    std::cerr << path << ": error "
              << static_cast<unsigned>(ResultCode::SettingsUnreadable)
              << ": the file cannot be read\n";
    return 1;
  }
  Result<ConfigDocument> document = parseConfig(*text);
  if (document)
    return 0;
  std::cerr << path << ": error "
            << static_cast<unsigned>(document.error().Code) << ": "
            << document.error().Detail << '\n';
  return 1;
}

static int check(const std::string &kind, const std::string &path) {
  bool isGood = false;
  if (kind == "entry")
    isGood = loadSettings(path, readEntrySettings).has_value();
  else if (kind == "direct")
    isGood = loadSettings(path, readDirectSettings).has_value();
  else if (kind == "rank")
    isGood = loadSettings(path, readRankSettings).has_value();
  else if (kind == "agent")
    isGood = loadSettings(path, readAgentSettings).has_value();
  else
    isGood = checkConfig(path) == 0;
  if (isGood)
    std::cout << path << ": ok\n";
  return isGood ? 0 : 1;
}

/// Prints the error of a role that could not start; returns the exit status.
static int exitStatus(const Result<void> &result) {
  if (result)
    return 0;
  std::cerr << "ospreyspur: error "
            << static_cast<unsigned>(result.error().Code) << ": "
            << result.error().Detail << '\n';
  return 1;
}

static int runOnPlatform(const std::string &role, const std::string &path) {
  // Only control messages use gRPC in these roles.
  setGrpcCores(1);
  if (role == "direct") {
    auto settings = loadSettings(path, readDirectSettings);
    return settings ? exitStatus(runDirect(*settings)) : 1;
  }
  auto settings = loadSettings(path, readRankSettings);
  return settings ? exitStatus(runRank(*settings)) : 1;
}

static int run(const std::string &role, const std::string &path) {
  if (role == "direct" || role == "rank") {
    // The platform reads standard output. LogWriter writes from a thread of its
    // own, so that logging doesn't block when the platform reads slowly.
    LogWriter log(STDOUT_FILENO);
    FLAGS_logtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int i = 0; i < google::NUM_SEVERITIES; ++i)
      google::SetLogDestination(i, "");
    return runOnPlatform(role, path);
  }
  if (role == "entry") {
    auto settings = loadSettings(path, readEntrySettings);
    return settings ? exitStatus(runEntry(*settings)) : 1;
  }
  auto settings = loadSettings(path, readAgentSettings);
  return settings ? exitStatus(runAgent(*settings)) : 1;
}

/// The path on the command line if given, else the one in the environment.
static std::string settingsPath(const std::string &given) {
  const char *path = std::getenv("OSPREYSPUR_SETTINGS");
  return given.empty() && path ? path : given;
}

/// Makes the allocator return the memory of large blocks to the kernel when
/// they are freed. By default it raises the threshold with the largest block
/// that was freed, and then keeps what a crowd of clients once needed.
static void limitRetainedMemory() {
  constexpr int MappedBlockBytes = 256 << 10;
  constexpr int MaxFreeBytes = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, MaxFreeBytes);
}

int main(int argc, char **argv) {
  limitRetainedMemory();
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    TCLAP::CmdLine cmd("Load balancer for expert-parallel model groups.\n"
                       "Examples:\n"
                       "  ospreyspur entry --settings entry.ini\n"
                       "  ospreyspur agent --settings agent.ini\n"
                       "  ospreyspur direct --settings direct.ini\n"
                       "  ospreyspur rank --settings rank.ini\n"
                       "  ospreyspur check --kind config --settings doc.json\n"
                       "  ospreyspur settings   (prints every key)\n"
                       "  ospreyspur ctl --admin 127.0.0.1:7311 --token-file t "
                       "get status\n"
                       "  ospreyspur ctl --admin 127.0.0.1:7311 --token-file t "
                       "--body e.json put events/dusk",
                       ' ', Version);
    std::vector<std::string> commands{"entry", "agent",    "direct", "rank",
                                      "check", "settings", "ctl"};
    TCLAP::ValuesConstraint<std::string> allowed(commands);
    TCLAP::UnlabeledValueArg<std::string> command("command", "command to run",
                                                  true, "", &allowed, cmd);
    TCLAP::ValueArg<std::string> settings("s", "settings", "file to read",
                                          false, "", "file", cmd);
    std::vector<std::string> kinds{"entry", "agent", "direct", "rank",
                                   "config"};
    TCLAP::ValuesConstraint<std::string> allowedKinds(kinds);
    TCLAP::ValueArg<std::string> kind("k", "kind",
                                      "kind of file that check reads", false,
                                      "entry", &allowedKinds, cmd);
    using Text = TCLAP::ValueArg<std::string>;
    TCLAP::UnlabeledMultiArg<std::string> words(
        "words", "for ctl: get, put or delete, and the object", false,
        "get|put|delete OBJECT", cmd);
    Text admin("", "admin", "for ctl: admin address of a process", false, "",
               "ip:port", cmd);
    Text tokenFile("", "token-file", "for ctl: file that holds the token",
                   false, "", "file", cmd);
    Text body("", "body", "for ctl put: file with the object's JSON", false, "",
              "file", cmd);
    Text ifMatch("", "if-match", "for ctl: tag that the object must have",
                 false, "", "tag", cmd);
    Text changeId("", "change-id", "for ctl: id of the change", false, "", "id",
                  cmd);
    cmd.parse(argc, argv);
    if (command.getValue() == "ctl") {
      const std::vector<std::string> &given = words.getValue();
      OperatorCommand order;
      order.Verb = given.empty() ? "" : given[0];
      order.Object = given.size() < 2 ? "" : given[1];
      order.Address = admin.getValue();
      order.Token = readFile(tokenFile.getValue()).value_or("");
      boost::algorithm::trim(order.Token);
      order.Body = readFile(body.getValue()).value_or("");
      order.IfMatch = ifMatch.getValue();
      order.ChangeId = changeId.getValue();
      return runOperatorCommand(order);
    }
    if (command.getValue() == "settings") {
      std::cout << formatSettingsTable();
      return 0;
    }
    if (command.getValue() == "check")
      return check(kind.getValue(), settings.getValue());
    return run(command.getValue(), settingsPath(settings.getValue()));
  } catch (const TCLAP::ArgException &error) {
    std::cerr << "ospreyspur: " << error.error() << " " << error.argId()
              << '\n';
    return UsageError;
  }
}
