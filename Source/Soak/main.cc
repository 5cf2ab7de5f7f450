#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

#include "access_run.h"
#include "rate_run.h"
#include "soak_run.h"

/// Randomized soak test: runs real proxy processes under load, injects faults
/// and checks the guarantees to clients. Executions one seed after another and
/// prints one line for each.

namespace {

using camphorferry::soak::AccessRun;
using camphorferry::soak::AccessRunResult;
using camphorferry::soak::AccessRunSettings;
using camphorferry::soak::RateRun;
using camphorferry::soak::RateRunResult;
using camphorferry::soak::RateRunSettings;
using camphorferry::soak::SoakResult;
using camphorferry::soak::SoakRun;
using camphorferry::soak::SoakSchedule;
using camphorferry::soak::SoakSettings;

constexpr int kExitOk = 0;
constexpr int kExitViolations = 1;
constexpr int kExitUsage = 2;

struct Options {
  const char* program = nullptr;
  const char* folder = nullptr;
  int seeds = 1;
  int first_seed = 1;
  int seconds = 25;
  int proxies = 4;
  int clients = 24;
  int services = 2;
  int promotions = 0;
  int rates = 0;
  int access = 0;
};

bool ReadOptions(int argc, const char** argv, Options* options) {
  const poptOption table[] = {
      {"program", 0, POPT_ARG_STRING, &options->program, 0,
       "Proxy program to run", "FILE"},
      {"folder", 0, POPT_ARG_STRING, &options->folder, 0,
       "Where settings and logs of each seed are kept", "DIR"},
      {"seeds", 0, POPT_ARG_INT, &options->seeds, 0, "Number of seeds", "N"},
      {"first-seed", 0, POPT_ARG_INT, &options->first_seed, 0, "First seed",
       "S"},
      {"seconds", 0, POPT_ARG_INT, &options->seconds, 0,
       "Length of a run, at least 15", "T"},
      {"daemons", 0, POPT_ARG_INT, &options->proxies, 0, "Proxies to run", "D"},
      {"clients", 0, POPT_ARG_INT, &options->clients, 0, "Clients to run", "C"},
      {"services", 0, POPT_ARG_INT, &options->services, 0, "Services", "S"},
      {"promotions", 0, POPT_ARG_NONE, &options->promotions, 0,
       "Play many promotions, some of whose orders arrive late", nullptr},
      {"rates", 0, POPT_ARG_NONE, &options->rates, 0,
       "Play a workspace that exceeds its rate while daemons are cut off",
       nullptr},
      {"access", 0, POPT_ARG_NONE, &options->access, 0,
       "Play keys that are withdrawn, moved and given back", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  const bool parsed =
      poptGetNextOpt(context) == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  constexpr int kMinSeconds = 15;
  const bool relays_playable =
      options->proxies >=
          static_cast<int>(camphorferry::soak::kMinRelayedProxies) &&
      options->proxies <=
          static_cast<int>(camphorferry::soak::kMaxRelayedProxies);
  return parsed && options->program != nullptr && options->folder != nullptr &&
         options->seeds > 0 && options->seconds >= kMinSeconds &&
         options->proxies > 0 && options->clients > 0 &&
         options->services > 0 &&
         ((options->rates == 0 && options->access == 0) || relays_playable);
}

/// Makes the folder for the settings and logs of a seed.
std::string MakeFolder(const Options& options, int seed) {
  std::string folder =
      std::string(options.folder) + "/seed-" + std::to_string(seed);
  std::filesystem::create_directories(folder);
  return folder;
}

/// Plays one seed with daemons that are cut off from each other. Returns true
/// if the rate was kept.
bool RunRates(const Options& options, int seed) {
  RateRunSettings settings;
  settings.program = options.program;
  settings.folder = MakeFolder(options, seed);
  settings.seed = static_cast<std::uint64_t>(seed);
  settings.proxies = static_cast<std::size_t>(options.proxies);
  const RateRunResult result = RateRun(settings).Run();
  const bool kept =
      result.most_in_window <= result.limit && result.pairs_without_relay == 0;
  std::cout << "rate: seed=" << seed << " daemons=" << options.proxies
            << " broken=" << (kept ? 0 : 1) << " most=" << result.most_in_window
            << " limit=" << result.limit << " at_ms="
            << camphorferry::common::ToMilliseconds(result.most_at).count()
            << " sent=" << result.sent << " served=" << result.served
            << " refused=" << result.refused
            << " refused_whole=" << result.refused_whole
            << " without_relay=" << result.pairs_without_relay << result.play
            << std::endl;
  if (kept) std::filesystem::remove_all(settings.folder);
  return kept;
}

/// Prints the first violations of a run.
void PrintViolations(const std::vector<std::string>& violations) {
  constexpr std::size_t kMaxPrinted = 10;
  for (std::size_t index = 0; index < std::min(violations.size(), kMaxPrinted);
       ++index) {
    std::cout << "  broken: " << violations[index] << "\n";
  }
  std::cout.flush();
}

/// Plays one seed with keys that change. Returns true if no client was handled
/// as only an earlier version allows.
bool RunAccess(const Options& options, int seed) {
  AccessRunSettings settings;
  settings.program = options.program;
  settings.folder = MakeFolder(options, seed);
  settings.seed = static_cast<std::uint64_t>(seed);
  settings.proxies = static_cast<std::size_t>(options.proxies);
  settings.length = std::chrono::seconds(options.seconds);
  const AccessRunResult result = AccessRun(settings).Run();
  std::cout << "access: seed=" << seed << " daemons=" << options.proxies
            << " broken=" << result.violations.size()
            << " versions=" << result.versions << " runs=" << result.executions
            << " changed_callers=" << result.changed_callers
            << " key_refusals=" << result.key_refusals << "\n";
  PrintViolations(result.violations);
  if (result.violations.empty()) std::filesystem::remove_all(settings.folder);
  return result.violations.empty();
}

/// Executions one seed. Returns true if no guarantee was violated.
bool RunSeed(const Options& options, int seed) {
  SoakSettings settings;
  settings.program = options.program;
  settings.folder = MakeFolder(options, seed);
  settings.seed = static_cast<std::uint64_t>(seed);
  settings.length = std::chrono::seconds(options.seconds);
  settings.proxies = options.proxies;
  settings.clients = options.clients;
  settings.services = options.services;
  if (options.promotions != 0) settings.schedule = SoakSchedule::kPromotions;
  const SoakResult result = SoakRun(settings).Run();
  std::cout << "soak: seed=" << seed << " broken=" << result.violations.size()
            << " acknowledged=" << result.acknowledged
            << " runs=" << result.executions
            << " promotion_calls=" << result.promotion_calls << "\n";
  PrintViolations(result.violations);
  if (result.violations.empty()) std::filesystem::remove_all(settings.folder);
  return result.violations.empty();
}

/// Plays one seed of the kind of run that the options name.
bool Play(const Options& options, int seed) {
  if (options.rates != 0) return RunRates(options, seed);
  if (options.access != 0) return RunAccess(options, seed);
  return RunSeed(options, seed);
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ReadOptions(argc, argv, &options)) {
    std::cerr << "camphorferry-soak: invalid arguments; see --help\n";
    return kExitUsage;
  }
  std::signal(SIGPIPE, SIG_IGN);
  camphorferry::common::InitializeLogging(
      camphorferry::common::LogLevel::kInfo);
  int failed = 0;
  for (int seed = options.first_seed; seed < options.first_seed + options.seeds;
       ++seed) {
    const bool held = Play(options, seed);
    if (!held) ++failed;
  }
  std::cout << "soak: seeds=" << options.seeds << " failed=" << failed << "\n";
  return failed == 0 ? kExitOk : kExitViolations;
}
