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

/// Options of a stand-in's command line. All are long options; --help and
/// --version are always present.
class CommandLine {
 public:
  explicit CommandLine(std::string program) : program(std::move(program)) {}

  void AddText(const char* name, const char* value_name, const char* help,
               std::string* target);
  void AddNumber(const char* name, const char* value_name, const char* help,
                 std::uint32_t* target);
  void AddFlag(const char* name, const char* help, bool* target);

  /// Reads the arguments into the targets. Returns the code to exit with if
  /// the process is to end now.
  std::optional<int> Parse(int argc, const char** argv);

  /// Reports wrong usage on standard error; returns the code to exit with.
  int UsageError(const std::string& message) const;

 private:
  /// One option's value as popt stores it.
  struct Slot {
    char* text = nullptr;
    int number = 0;
    std::string name;
    /// Copies the value to its target; false if it is out of range.
    std::function<bool(const Slot&)> assign;
  };

  std::optional<int> Finish();
  void Add(const char* name, int kind, const char* value_name, const char* help,
           Slot slot);

  std::string program;
  std::deque<Slot> slots;
  std::vector<poptOption> options;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_COMMAND_LINE_H_
