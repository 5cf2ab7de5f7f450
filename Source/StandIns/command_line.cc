#include "StandIns/command_line.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

namespace camphorferry::standins {

namespace {

constexpr const char* kVersion = "0.1.0";

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};

}  // namespace

void CommandLine::AddString(const char* name, const char* value_name,
                            const char* help, std::string* target) {
  OptionValue item;
  item.assign = [target](const OptionValue& parsed) {
    if (parsed.text != nullptr) *target = parsed.text;
    return true;
  };
  this->Add(name, POPT_ARG_STRING, value_name, help, std::move(item));
}

void CommandLine::AddNumber(const char* name, const char* value_name,
                            const char* help, std::uint32_t* target) {
  OptionValue item;
  item.number = static_cast<int>(*target);
  item.assign = [target](const OptionValue& parsed) {
    if (parsed.number < 0) return false;
    *target = static_cast<std::uint32_t>(parsed.number);
    return true;
  };
  this->Add(name, POPT_ARG_INT, value_name, help, std::move(item));
}

void CommandLine::AddFlag(const char* name, const char* help, bool* target) {
  OptionValue item;
  item.assign = [target](const OptionValue& parsed) {
    *target = parsed.number != 0;
    return true;
  };
  this->Add(name, POPT_ARG_NONE, nullptr, help, std::move(item));
}

void CommandLine::Add(const char* name, int kind, const char* value_name,
                      const char* help, OptionValue item) {
  item.name = name;
  this->items.push_back(std::move(item));
  OptionValue& stored = this->items.back();
  void* value = kind == POPT_ARG_STRING ? static_cast<void*>(&stored.text)
                                        : static_cast<void*>(&stored.number);
  this->options.push_back({name, '\0', static_cast<unsigned int>(kind), value,
                           0, help, value_name});
}

std::optional<int> CommandLine::Parse(int argc, const char** argv) {
  int version = 0;
  std::vector<poptOption> table = this->options;
  table.push_back({"version", '\0', POPT_ARG_NONE, &version, 0,
                   "Print the version and exit", nullptr});
  table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  table.push_back(POPT_TABLEEND);
  const std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>
      context(
          poptGetContext(this->program.c_str(), argc, argv, table.data(), 0));
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    const char* option = poptBadOption(context.get(), POPT_BADOPTION_NOALIAS);
    return this->UsageError(std::string(option) + ": " + poptStrerror(code));
  }
  if (version != 0) {
    std::cout << this->program << " " << kVersion << "\n";
    return kExitOk;
  }
  const char* extra = poptGetArg(context.get());
  if (extra != nullptr) {
    return this->UsageError("unexpected argument " + std::string(extra));
  }
  return this->AssignTargets();
}

std::optional<int> CommandLine::AssignTargets() {
  for (OptionValue& item : this->items) {
    const bool assigned = item.assign(item);
    std::free(item.text);
    item.text = nullptr;
    if (!assigned) return this->UsageError("--" + item.name + ": out of range");
  }
  return std::nullopt;
}

int CommandLine::UsageError(const std::string& message) const {
  std::cerr << this->program << ": " << message << "\n"
            << "Try --help for the options.\n";
  return kExitUsage;
}

}  // namespace camphorferry::standins
