#include <popt.h>

#include <csignal>
#include <iostream>
#include <string>

#include "Process/process.h"

/// The daemon: reads and checks its settings, then runs until a signal.

namespace {

using camphorferry::process::Daemon;
using camphorferry::process::ReadSettings;
using camphorferry::process::Settings;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/// What the command line asked for.
struct Options {
  std::string settings;
  int check = 0;
  int version = 0;
};

/// Reads the command line; false on a usage error.
bool ReadOptions(int argc, const char** argv, Options* options) {
  const poptOption table[] = {{"check", 0, POPT_ARG_NONE, &options->check, 0,
                               "Check the settings and exit", nullptr},
                              {"version", 0, POPT_ARG_NONE, &options->version,
                               0, "Print the version and exit", nullptr},
                              POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] SETTINGS.toml");
  const int result = poptGetNextOpt(context);
  const char* file = poptGetArg(context);
  if (file != nullptr) options->settings = file;
  const bool valid = result == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  return valid && (options->version != 0 || !options->settings.empty());
}

int Run(const Options& options) {
  const Settings settings = ReadSettings(options.settings);
  if (options.check != 0) {
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
  if (!ReadOptions(argc, argv, &options)) {
    std::cerr << "camphorferryd: invalid arguments; see --help\n";
    return kExitUsage;
  }
  if (options.version != 0) {
    std::cout << "camphorferryd 0.1.0\n";
    return kExitOk;
  }
  // A write to a connection that the other side closed must not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return Run(options);
  } catch (const camphorferry::process::SettingsError& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  } catch (const camphorferry::common::Error& error) {
    std::cerr << "camphorferryd: " << error.what() << "\n";
    return kExitFailed;
  }
}
