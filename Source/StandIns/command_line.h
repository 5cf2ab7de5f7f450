#ifndef CAMPHORFERRY_STANDINS_COMMAND_LINE_H_
#define CAMPHORFERRY_STANDINS_COMMAND_LINE_H_

#include <popt.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Connection/connection.h"

namespace camphorferry::standins {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Command line parser of a stand-in process. All options are long options;
/// --help and --version are always present.
class CommandLine {
 public:
  explicit CommandLine(std::string program) : program(std::move(program)) {}

  void AddString(const char* name, const char* value_name, const char* help,
                 std::string* target);
  void AddNumber(const char* name, const char* value_name, const char* help,
                 std::uint32_t* target);
  void AddFlag(const char* name, const char* help, bool* target);

  /// Parses the arguments into the targets. Returns an exit code if the process
  /// must exit now, because of a usage error, --help or --version.
  std::optional<int> Parse(int argc, const char** argv);

  /// Prints a usage error to standard error and returns the exit code.
  int UsageError(const std::string& message) const;

 private:
  /// Value of one option, in the form that popt stores.
  struct OptionValue {
    char* text = nullptr;
    int number = 0;
    std::string name;
    /// Copies the value to its target. Returns false if it is out of range.
    std::function<bool(const OptionValue&)> assign;
  };

  std::optional<int> AssignTargets();
  void Add(const char* name, int kind, const char* value_name, const char* help,
           OptionValue item);

  std::string program;
  std::deque<OptionValue> items;
  std::vector<poptOption> options;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_COMMAND_LINE_H_
