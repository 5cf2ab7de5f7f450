#ifndef CAMPHORFERRY_CONTROL_COMMAND_RUNNER_H_
#define CAMPHORFERRY_CONTROL_COMMAND_RUNNER_H_

#include <array>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "Control/apply_report.h"
#include "Control/command_line.h"
#include "Control/operator_client.h"

namespace camphorferry::control {

/// Exit codes of the program. Scripts depend on them, so they must not change.
enum class ExitCode {
  kOk = 0,
  kInvalidInput = 2,
  kPlanStale = 3,
  kNoAnswer = 4,
  kRefused = 5,
};

/// Output and exit code of a command.
struct CommandResult {
  ExitCode exit_code = ExitCode::kOk;
  /// Output for display.
  std::string text;
  /// Output for scripts, printed with --json.
  nlohmann::json document;
};

/// Returns the random bytes for a new key.
using RandomSource =
    std::function<std::array<unsigned char, version::kKeyBytes>()>;

/// Runs the command of a command line.
class CommandRunner {
 public:
  CommandRunner(const CommandLine& line, Transport transport,
                RandomSource random);

  CommandResult Run() const;

 private:
  CommandResult RunCommand(const ValidateCommand& command) const;
  CommandResult RunCommand(const PlanCommand& command) const;
  CommandResult RunCommand(const ApplyCommand& command) const;
  CommandResult RunCommand(const StatusCommand& command) const;
  CommandResult RunCommand(const CountersCommand& command) const;
  CommandResult RunCommand(const KeysIssueCommand& command) const;
  CommandResult RunCommand(const KeysWithdrawCommand& command) const;
  CommandResult RunCommand(const DrainCommand& command) const;
  CommandResult RunCommand(const HelpCommand& command) const;
  CommandResult RunCommand(const VersionCommand& command) const;

  CommandResult ShowPlan(const version::Configuration& declared) const;
  ApplyReport Confirm(const version::Configuration& declared,
                      const std::string& digest) const;
  CommandResult WithdrawKey(version::Configuration current,
                            const KeysWithdrawCommand& command) const;
  void ReportRollout(version::ConfigurationVersion version,
                     CommandResult* result) const;

  CommandLine line;
  OperatorClient client;
  RandomSource random;
};

/// The result for an invalid command line.
CommandResult UsageResult(const UsageError& error);

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_COMMAND_RUNNER_H_
