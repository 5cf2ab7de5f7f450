#include <popt.h>

#include <csignal>
#include <iostream>
#include <string>

#include "Process/process.h"

/// Entry point of the daemon: reads and validates the settings file, then runs
/// until a signal stops it.

namespace {

using camphorferry::process::Daemon;
using camphorferry::process::ReadSettings;
using camphorferry::process::Settings;

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

/// Command line options.
struct Options {
  std::string settings_path;
  int check_only = 0;
  int print_version = 0;
};

/// Parses the command line. Returns false on a usage error.
bool ParseOptions(int argc, const char** argv, Options* options) {
  const poptOption table[] = {
      {"check", 0, POPT_ARG_NONE, &options->check_only, 0,
       "Check the settings and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &options->print_version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] SETTINGS.toml");
  const int result = poptGetNextOpt(context);
  const char* file = poptGetArg(context);
  if (file != nullptr) options->settings_path = file;
  const bool valid = result == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  return valid &&
         (options->print_version != 0 || !options->settings_path.empty());
}

int Run(const Options& options) {
  const Settings settings = ReadSettings(options.settings_path);
  if (options.check_only != 0) {
    std::cout << "settings ok\n";
    return kExitOk;
  }
  camphorferry::common::InitializeLogging(settings.log_level);
  Daemon daemon(settings);
  std::cout << "ready clients_port=" << daemon.ClientPort()
            << " operators_port=" << daemon.OperatorPort()
            << " peers_port=" << daemon.PeerPort() << std::endl;
  daemon.Run();
  return kExitOk;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, &options)) {
    std::cerr << "camphorferryd: invalid arguments; see --help\n";
    return kExitUsage;
  }
  if (options.print_version != 0) {
    std::cout << "camphorferryd 0.1.0\n";
    return kExitOk;
  }
  // A write to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(options);
  } catch (const camphorferry::process::SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const camphorferry::common::Error& error) {
    std::cerr << "camphorferryd: " << error.what() << "\n";
    return kExitFailure;
  }
}
