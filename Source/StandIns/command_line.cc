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

void CommandLine::AddText(const char* name, const char* value_name,
                          const char* help, std::string* target) {
  Slot slot;
  slot.assign = [target](const Slot& given) {
    if (given.text != nullptr) *target = given.text;
    return true;
  };
  this->Add(name, POPT_ARG_STRING, value_name, help, std::move(slot));
}

void CommandLine::AddNumber(const char* name, const char* value_name,
                            const char* help, std::uint32_t* target) {
  Slot slot;
  slot.number = static_cast<int>(*target);
  slot.assign = [target](const Slot& given) {
    if (given.number < 0) return false;
    *target = static_cast<std::uint32_t>(given.number);
    return true;
  };
  this->Add(name, POPT_ARG_INT, value_name, help, std::move(slot));
}

void CommandLine::AddFlag(const char* name, const char* help, bool* target) {
  Slot slot;
  slot.assign = [target](const Slot& given) {
    *target = given.number != 0;
    return true;
  };
  this->Add(name, POPT_ARG_NONE, nullptr, help, std::move(slot));
}

void CommandLine::Add(const char* name, int kind, const char* value_name,
                      const char* help, Slot slot) {
  slot.name = name;
  this->slots.push_back(std::move(slot));
  Slot& stored = this->slots.back();
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
  return this->Finish();
}

std::optional<int> CommandLine::Finish() {
  for (Slot& slot : this->slots) {
    const bool assigned = slot.assign(slot);
    std::free(slot.text);
    slot.text = nullptr;
    if (!assigned) return this->UsageError("--" + slot.name + ": out of range");
  }
  return std::nullopt;
}

int CommandLine::UsageError(const std::string& message) const {
  std::cerr << this->program << ": " << message << "\n"
            << "Try --help for the options.\n";
  return kExitUsage;
}

}  // namespace camphorferry::standins
