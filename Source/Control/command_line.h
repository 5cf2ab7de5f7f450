#ifndef CAMPHORFERRY_CONTROL_COMMAND_LINE_H_
#define CAMPHORFERRY_CONTROL_COMMAND_LINE_H_

#include <filesystem>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Connection/connection.h"
#include "Version/version.h"

namespace camphorferry::control {

/// Declaration files, and directories with declaration files.
using Sources = std::vector<std::filesystem::path>;

/// Validates declarations without contacting a daemon.
struct ValidateCommand {
  Sources sources;
};

/// Shows the changes that applying the declarations would make.
struct PlanCommand {
  Sources sources;
};

/// Confirms a plan by its digest.
struct ApplyCommand {
  Sources sources;
  std::string digest;
};

/// Shows the state of the first daemon that answers.
struct StatusCommand {};

/// Shows the counters of the first daemon that answers.
struct CountersCommand {};

/// Creates a new key without contacting a daemon.
struct KeysIssueCommand {
  common::WorkspaceId workspace;
  common::KeyId name;
};

/// Plans the removal of a key from the configuration in force or, if a digest
/// is given, applies it.
struct KeysWithdrawCommand {
  common::KeyId name;
  std::optional<std::string> digest;
};

/// Makes one daemon finish its running requests and stop.
struct DrainCommand {};

/// Shows the usage.
struct HelpCommand {
  std::string text;
};

/// Shows the program's version.
struct VersionCommand {
  std::string text;
};

using Command =
    std::variant<ValidateCommand, PlanCommand, ApplyCommand, StatusCommand,
                 CountersCommand, KeysIssueCommand, KeysWithdrawCommand,
                 DrainCommand, HelpCommand, VersionCommand>;

inline constexpr std::chrono::milliseconds kDefaultTimeout{5000};
inline constexpr std::chrono::milliseconds kMinTimeout{100};
inline constexpr std::chrono::milliseconds kMaxTimeout{600'000};

/// A parsed command line.
struct CommandLine {
  Command command;
  /// Addresses of operators' listeners, in the order in which they are tried.
  std::vector<connection::SocketAddress> operators;
  /// Maximum time to wait for the answer of each listener.
  common::Duration timeout = kDefaultTimeout;
  bool json = false;
};

/// What is wrong with a command line.
enum class UsageFault {
  kBadOption,
  kMissingCommand,
  kUnknownCommand,
  kMissingArgument,
  kUnexpectedArgument,
  kMissingOption,
  kUnexpectedOption,
  kBadValue,
};

/// Name of a usage fault in error messages.
std::string_view ToString(UsageFault fault);

/// The command line is invalid.
class UsageError : public common::Error {
 public:
  UsageError(UsageFault fault, const std::string& subject);

  UsageFault Fault() const { return this->fault; }
  /// Option or argument that caused the fault.
  const std::string& Subject() const { return this->subject; }

 private:
  UsageFault fault;
  std::string subject;
};

/// Parses the arguments without the program's name; throws UsageError.
CommandLine ParseCommandLine(const std::vector<std::string>& arguments);

}  // namespace camphorferry::control

#endif  // CAMPHORFERRY_CONTROL_COMMAND_LINE_H_
