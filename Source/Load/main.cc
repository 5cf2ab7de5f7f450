#include <popt.h>

#include <iostream>
#include <string>

#include "Load/load_run.h"

/// Load generator: sends the load that a file describes to a fleet of daemons
/// and checks the consistency of every answer.

namespace {

using camphorferry::load::LoadPlan;
using camphorferry::load::LoadRun;

constexpr int kExitOk = 0;
constexpr int kExitInconsistent = 1;
constexpr int kExitUsage = 2;

/// Values of the command-line options.
struct Options {
  std::string file;
  std::string profile = "none";
  std::string fault = "none";
  std::string run = "run";
  double seconds = 10;
  long seed = 1;  // NOLINT(google-runtime-int): popt stores a long.
  int version = 0;
};

/// Copies a string that popt allocated, if the option was given.
void TakeString(char* value, std::string* target) {
  if (value == nullptr) return;
  *target = value;
  free(value);
}

/// Parses the command line. Returns false for invalid arguments.
bool ReadOptions(int argc, const char** argv, Options* options) {
  char* profile = nullptr;
  char* fault = nullptr;
  char* run = nullptr;
  const poptOption table[] = {
      {"seconds", 's', POPT_ARG_DOUBLE, &options->seconds, 0,
       "Length of the load", "N"},
      {"seed", 0, POPT_ARG_LONG, &options->seed, 0, "Seed of the sessions",
       "N"},
      {"profile", 0, POPT_ARG_STRING, &profile, 0, "Name for the figures",
       "NAME"},
      {"fault", 0, POPT_ARG_STRING, &fault, 0,
       "Name of the injected fault for the figures", "NAME"},
      {"run", 0, POPT_ARG_STRING, &run, 0,
       "Prefix of the account names; must differ for each run on one fleet",
       "NAME"},
      {"version", 0, POPT_ARG_NONE, &options->version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] LOADFILE");
  const int result = poptGetNextOpt(context);
  const char* file = poptGetArg(context);
  if (file != nullptr) options->file = file;
  const bool valid = result == -1 && poptPeekArg(context) == nullptr;
  poptFreeContext(context);
  TakeString(profile, &options->profile);
  TakeString(fault, &options->fault);
  TakeString(run, &options->run);
  return valid && (options->version != 0 || !options->file.empty());
}

int Run(const Options& options) {
  LoadPlan plan = camphorferry::load::ReadLoadPlan(options.file);
  plan.length = std::chrono::duration_cast<camphorferry::common::Duration>(
      std::chrono::duration<double>(options.seconds));
  plan.seed = static_cast<std::uint64_t>(options.seed);
  plan.run = options.run;
  LoadRun run(plan);
  run.Run();
  camphorferry::load::PrintFigures(plan, run.Results(), run.Findings(),
                                   options.profile, options.fault);
  const camphorferry::load::ConsistencyFindings& findings = run.Findings();
  const bool consistent =
      findings.lost_acknowledged == 0 && findings.duplicated == 0 &&
      findings.false_not_run == 0 && run.Results().stale_own_reads == 0 &&
      run.Results().crossed_answers == 0;
  return consistent ? kExitOk : kExitInconsistent;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ReadOptions(argc, argv, &options)) {
    std::cerr << "camphorferry-load: invalid arguments; see --help\n";
    return kExitUsage;
  }
  if (options.version != 0) {
    std::cout << "camphorferry-load 0.1.0\n";
    return kExitOk;
  }
  try {
    return Run(options);
  } catch (const camphorferry::common::Error& error) {
    std::cerr << "camphorferry-load: " << error.what() << "\n";
    return kExitUsage;
  }
}
