#include <chrono>
#include <iostream>
#include <string>

#include "StandIns/command_line.h"
#include "StandIns/database_control.h"
#include "StandIns/database_server.h"
#include "StandIns/standin_process.h"

namespace camphorferry::standins {

namespace {

/// Option values before validation.
struct DatabaseArguments {
  std::string listen;
  std::string control;
  std::string id;
  std::string follow;
  std::uint32_t slots = 2;
  std::uint32_t connections = 16;
  std::uint32_t connect_delay_ms = 0;
  std::uint32_t replication_delay_ms = 0;
  bool primary = false;
};

void AddOptions(CommandLine* line, DatabaseArguments* arguments) {
  line->AddString("listen", "IP:PORT", "Address for daemons and databases",
                  &arguments->listen);
  line->AddString("control", "IP:PORT", "Address for fault injection",
                  &arguments->control);
  line->AddString("id", "ID", "Name of this database", &arguments->id);
  line->AddNumber("slots", "N", "Statements that run at once",
                  &arguments->slots);
  line->AddNumber("connections", "N", "Connections that are accepted",
                  &arguments->connections);
  line->AddNumber("connect-delay-ms", "N",
                  "Delay of a new connection's first answer",
                  &arguments->connect_delay_ms);
  line->AddNumber("replication-delay-ms", "N",
                  "Delay before pulled entries take effect",
                  &arguments->replication_delay_ms);
  line->AddFlag("primary", "Start as the primary of term 1",
                &arguments->primary);
  line->AddString("follow", "IP:PORT", "Start as a replica of this primary",
                  &arguments->follow);
}

/// Returns an error message for missing or conflicting options; empty if valid.
std::string Validate(const DatabaseArguments& arguments) {
  if (arguments.listen.empty()) return "--listen is missing";
  if (arguments.control.empty()) return "--control is missing";
  if (arguments.id.empty()) return "--id is missing";
  if (arguments.slots == 0) return "--slots must be at least 1";
  if (arguments.connections == 0) return "--connections must be at least 1";
  if (arguments.primary && !arguments.follow.empty()) {
    return "--primary and --follow exclude each other";
  }
  return "";
}

DatabaseSettings ToSettings(const DatabaseArguments& arguments) {
  DatabaseSettings settings;
  settings.listen = connection::ParseSocketAddress(arguments.listen);
  settings.control = connection::ParseSocketAddress(arguments.control);
  settings.id = arguments.id;
  settings.slots = arguments.slots;
  settings.connections = arguments.connections;
  settings.connect_delay =
      std::chrono::milliseconds(arguments.connect_delay_ms);
  settings.replication_delay =
      std::chrono::milliseconds(arguments.replication_delay_ms);
  settings.primary = arguments.primary;
  if (!arguments.follow.empty()) {
    settings.follow = connection::ParseSocketAddress(arguments.follow);
  }
  return settings;
}

int Main(int argc, const char** argv) {
  CommandLine line("standin-database");
  DatabaseArguments arguments;
  AddOptions(&line, &arguments);
  if (const auto code = line.Parse(argc, argv)) return *code;
  const std::string validation_error = Validate(arguments);
  if (!validation_error.empty()) return line.UsageError(validation_error);
  try {
    const DatabaseSettings settings = ToSettings(arguments);
    StandInProcess process;
    DatabaseServer database(process.Loop(), settings);
    const DatabaseControl control(process.Loop(), settings.control, &database);
    process.Run(database.Port(), control.Port());
  } catch (const connection::BadSocketAddressError& error) {
    return line.UsageError(error.what());
  } catch (const connection::ListenError& error) {
    std::cerr << "standin-database: " << error.what() << "\n";
    return kExitFailure;
  }
  return kExitOk;
}

}  // namespace

}  // namespace camphorferry::standins

int main(int argc, const char** argv) {
  return camphorferry::standins::Main(argc, argv);
}
