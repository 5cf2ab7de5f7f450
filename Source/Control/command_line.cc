#include "Control/command_line.h"

#include <popt.h>

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace camphorferry::control {

namespace {

constexpr const char* kProgramName = "camphorferryctl";

constexpr std::string_view kCommandHelp = R"(
Commands:
  validate FILE...                    check declarations, contact no daemon
  plan FILE...                        show what would change
  apply --digest D FILE...            put the plan with this digest in force
  status                              show the state of a daemon
  counters                            show the counters of a daemon
  keys issue --workspace W --name N   make a key, show it once
  keys withdraw --name N              plan the removal of a key
  keys withdraw --name N --digest D   apply the removal of a key
  drain                               make one daemon finish and stop

FILE is a declaration file or a directory with *.toml files.

Exit codes: 0 ok, 2 usage or invalid input, 3 the plan is stale,
4 no answer or unknown outcome, 5 refused.
)";

enum OptionValue {
  kOperatorOption = 1,
  kTimeoutOption,
  kJsonOption,
  kDigestOption,
  kWorkspaceOption,
  kNameOption,
  kHelpOption,
  kVersionOption,
};

const poptOption kOptions[] = {
    {"operator", 'o', POPT_ARG_STRING, nullptr, kOperatorOption,
     "operators' listener of a daemon; may be repeated, the next one is tried "
     "when one does not answer",
     "IP:PORT"},
    {"timeout-ms", 't', POPT_ARG_STRING, nullptr, kTimeoutOption,
     "time for each answer, 100 to 600000 (default 5000)", "N"},
    {"json", 'j', POPT_ARG_NONE, nullptr, kJsonOption, "print JSON", nullptr},
    {"digest", 'd', POPT_ARG_STRING, nullptr, kDigestOption,
     "digest of the plan to confirm", "D"},
    {"workspace", 'w', POPT_ARG_STRING, nullptr, kWorkspaceOption,
     "workspace of the key", "W"},
    {"name", 'n', POPT_ARG_STRING, nullptr, kNameOption, "name of the key",
     "N"},
    {"help", 'h', POPT_ARG_NONE, nullptr, kHelpOption, "show this help",
     nullptr},
    {"version", 'V', POPT_ARG_NONE, nullptr, kVersionOption, "show the version",
     nullptr},
    {nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using Context = std::unique_ptr<poptContext_s, ContextDeleter>;

/// Options and arguments before they are validated.
struct RawCommandLine {
  std::vector<std::string> operators;
  /// Options that only some commands accept, by name.
  std::map<std::string, std::string> options;
  std::optional<std::string> timeout;
  std::vector<std::string> arguments;
  bool json = false;
  bool help = false;
  bool version = false;
};

std::string TakeOptionArgument(poptContext context) {
  const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context),
                                                         &std::free);
  return text == nullptr ? "" : text.get();
}

void StoreOption(poptContext context, int option, RawCommandLine* raw) {
  const std::string text = TakeOptionArgument(context);
  switch (option) {
    case kOperatorOption:
      raw->operators.push_back(text);
      break;
    case kTimeoutOption:
      raw->timeout = text;
      break;
    case kJsonOption:
      raw->json = true;
      break;
    case kDigestOption:
      raw->options["--digest"] = text;
      break;
    case kWorkspaceOption:
      raw->options["--workspace"] = text;
      break;
    case kNameOption:
      raw->options["--name"] = text;
      break;
    case kHelpOption:
      raw->help = true;
      break;
    default:
      raw->version = true;
  }
}

RawCommandLine ReadRawCommandLine(poptContext context) {
  RawCommandLine raw;
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    StoreOption(context, option, &raw);
  }
  if (option < -1) {
    throw UsageError(UsageFault::kBadOption,
                     std::string(poptBadOption(context, 0)) + " (" +
                         poptStrerror(option) + ")");
  }
  while (const char* argument = poptGetArg(context)) {
    raw.arguments.emplace_back(argument);
  }
  return raw;
}

std::string HelpText(poptContext context) {
  char* buffer = nullptr;
  std::size_t size = 0;
  std::FILE* stream = open_memstream(&buffer, &size);
  if (stream == nullptr) return std::string(kCommandHelp);
  poptPrintHelp(context, stream, 0);
  static_cast<void>(std::fclose(stream));
  std::string text(buffer, size);
  std::free(buffer);
  text += kCommandHelp;
  return text;
}

common::Duration ParseTimeout(const std::string& text) {
  std::int64_t milliseconds = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, milliseconds);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == last &&
                     milliseconds >= kMinTimeout.count() &&
                     milliseconds <= kMaxTimeout.count();
  if (!valid) {
    throw UsageError(UsageFault::kBadValue, "--timeout-ms " + text);
  }
  return std::chrono::milliseconds(milliseconds);
}

std::vector<connection::SocketAddress> ParseOperators(
    const std::vector<std::string>& texts) {
  std::vector<connection::SocketAddress> operators;
  for (const std::string& text : texts) {
    if (!common::IsIpAndPort(text)) {
      throw UsageError(UsageFault::kBadValue, "--operator " + text);
    }
    operators.push_back(connection::ParseSocketAddress(text));
  }
  return operators;
}

/// Converts the raw command line to a command and rejects options and arguments
/// that the command does not accept.
class CommandParser {
 public:
  explicit CommandParser(RawCommandLine raw) : raw(std::move(raw)) {}

  Command Parse() {
    const std::string name = this->TakeName();
    Command command = this->ParseCommand(name);
    if (!this->raw.arguments.empty()) {
      throw UsageError(UsageFault::kUnexpectedArgument,
                       this->raw.arguments.front());
    }
    if (!this->raw.options.empty()) {
      throw UsageError(UsageFault::kUnexpectedOption,
                       this->raw.options.begin()->first);
    }
    return command;
  }

 private:
  Command ParseCommand(const std::string& name) {
    if (name == "validate") return ValidateCommand{this->TakeSources()};
    if (name == "plan") return PlanCommand{this->TakeSources()};
    if (name == "apply") {
      return ApplyCommand{this->TakeSources(), this->TakeDigest()};
    }
    if (name == "status") return StatusCommand{};
    if (name == "counters") return CountersCommand{};
    if (name == "drain") return DrainCommand{};
    if (name == "keys") return this->ParseKeys(this->TakeName());
    throw UsageError(UsageFault::kUnknownCommand, name);
  }

  Command ParseKeys(const std::string& name) {
    if (name == "issue") {
      return KeysIssueCommand{
          common::WorkspaceId(this->TakeObjectName("--workspace")),
          common::KeyId(this->TakeObjectName("--name"))};
    }
    if (name == "withdraw") {
      KeysWithdrawCommand command;
      command.name = common::KeyId(this->TakeObjectName("--name"));
      if (this->raw.options.contains("--digest")) {
        command.digest = this->TakeDigest();
      }
      return command;
    }
    throw UsageError(UsageFault::kUnknownCommand, "keys " + name);
  }

  std::string TakeName() {
    if (this->raw.arguments.empty()) {
      throw UsageError(UsageFault::kMissingCommand, "COMMAND");
    }
    std::string name = std::move(this->raw.arguments.front());
    this->raw.arguments.erase(this->raw.arguments.begin());
    return name;
  }

  Sources TakeSources() {
    if (this->raw.arguments.empty()) {
      throw UsageError(UsageFault::kMissingArgument, "FILE");
    }
    const std::vector<std::string> files =
        std::exchange(this->raw.arguments, {});
    return Sources(files.begin(), files.end());
  }

  std::string TakeOption(const std::string& name) {
    const auto found = this->raw.options.find(name);
    if (found == this->raw.options.end()) {
      throw UsageError(UsageFault::kMissingOption, name);
    }
    std::string value = std::move(found->second);
    this->raw.options.erase(found);
    return value;
  }

  std::string TakeDigest() {
    std::string digest = this->TakeOption("--digest");
    if (!common::IsSha256Hex(digest)) {
      throw UsageError(UsageFault::kBadValue, "--digest " + digest);
    }
    return digest;
  }

  std::string TakeObjectName(const std::string& option) {
    std::string name = this->TakeOption(option);
    if (!common::IsValidName(name)) {
      throw UsageError(UsageFault::kBadValue, option + " " + name);
    }
    return name;
  }

  RawCommandLine raw;
};

bool NeedsDaemon(const Command& command) {
  return !std::holds_alternative<ValidateCommand>(command) &&
         !std::holds_alternative<KeysIssueCommand>(command);
}

void CheckOperators(const CommandLine& line) {
  if (NeedsDaemon(line.command) && line.operators.empty()) {
    throw UsageError(UsageFault::kMissingOption, "--operator");
  }
  // With several listeners, a retry at the next one would drain a second
  // daemon.
  if (std::holds_alternative<DrainCommand>(line.command) &&
      line.operators.size() != 1) {
    throw UsageError(UsageFault::kUnexpectedOption,
                     "--operator (drain takes exactly one)");
  }
}

}  // namespace

std::string_view ToString(UsageFault fault) {
  switch (fault) {
    case UsageFault::kBadOption:
      return "bad option";
    case UsageFault::kMissingCommand:
      return "missing command";
    case UsageFault::kUnknownCommand:
      return "unknown command";
    case UsageFault::kMissingArgument:
      return "missing argument";
    case UsageFault::kUnexpectedArgument:
      return "unexpected argument";
    case UsageFault::kMissingOption:
      return "missing option";
    case UsageFault::kUnexpectedOption:
      return "unexpected option";
    case UsageFault::kBadValue:
      return "bad value";
  }
  return "invalid";
}

UsageError::UsageError(UsageFault fault, const std::string& subject)
    : Error(std::string(ToString(fault)) + ": " + subject),
      fault(fault),
      subject(subject) {}

CommandLine ParseCommandLine(const std::vector<std::string>& arguments) {
  std::vector<const char*> texts{kProgramName};
  for (const std::string& argument : arguments) {
    texts.push_back(argument.c_str());
  }
  texts.push_back(nullptr);
  const Context context(poptGetContext(kProgramName,
                                       static_cast<int>(texts.size() - 1),
                                       texts.data(), kOptions, 0));
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND [FILE...]");
  RawCommandLine raw = ReadRawCommandLine(context.get());
  CommandLine line;
  line.json = raw.json;
  if (raw.help) {
    line.command = HelpCommand{HelpText(context.get())};
    return line;
  }
  if (raw.version) {
    line.command = VersionCommand{std::string(kProgramName) + " " +
                                  CAMPHORFERRY_VERSION + "\n"};
    return line;
  }
  line.operators = ParseOperators(raw.operators);
  if (raw.timeout.has_value()) line.timeout = ParseTimeout(*raw.timeout);
  line.command = CommandParser(std::move(raw)).Parse();
  CheckOperators(line);
  return line;
}

}  // namespace camphorferry::control
