#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "Process/process.h"

/// Collects the events of all given daemons over the network and prints them
/// as one time line.

namespace {

using camphorferry::connection::HttpRequest;
using camphorferry::connection::HttpResponse;
using camphorferry::connection::HttpResult;
using camphorferry::connection::ParseSocketAddress;
using camphorferry::connection::SendHttpBlocking;
using camphorferry::process::ParseTimeline;
using camphorferry::process::TimelineEntry;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitNoAnswer = 4;
constexpr std::chrono::seconds kTimeout(5);

/// What the command line asked for.
struct Options {
  int html = 0;
  int version = 0;
  std::vector<std::string> operators;
};

/// Reads the command line; false on a usage error, which was reported.
bool ReadOptions(int argc, const char** argv, Options* options) {
  char* operator_address = nullptr;
  constexpr int kOperatorOption = 1;
  const poptOption table[] = {
      {"operator", 'o', POPT_ARG_STRING, &operator_address, kOperatorOption,
       "Operators' listener of a daemon; may be given several times",
       "IP:PORT"},
      {"html", 0, POPT_ARG_NONE, &options->html, 0,
       "Print a self-contained HTML page instead of text", nullptr},
      {"version", 0, POPT_ARG_NONE, &options->version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  int result = poptGetNextOpt(context);
  while (result > 0) {
    options->operators.emplace_back(operator_address);
    result = poptGetNextOpt(context);
  }
  const bool valid = result == -1 && poptPeekArg(context) == nullptr;
  if (!valid) {
    std::cerr << "camphorferry-timeline: invalid arguments; see --help\n";
  }
  poptFreeContext(context);
  return valid;
}

/// Adds one daemon's events; false if it did not answer.
bool Collect(const std::string& address, std::vector<TimelineEntry>* entries) {
  HttpRequest request;
  request.path = "/operator/v1/events";
  const HttpResult result =
      SendHttpBlocking(ParseSocketAddress(address), request, kTimeout);
  const auto* response = std::get_if<HttpResponse>(&result);
  if (response == nullptr) {
    std::cerr << "camphorferry-timeline: no answer from " << address << "\n";
    return false;
  }
  const std::vector<TimelineEntry> events =
      ParseTimeline(nlohmann::json::parse(response->body, nullptr, false));
  entries->insert(entries->end(), events.begin(), events.end());
  return true;
}

int Run(const Options& options) {
  std::vector<TimelineEntry> entries;
  bool complete = true;
  for (const std::string& address : options.operators) {
    complete = Collect(address, &entries) && complete;
  }
  camphorferry::process::SortTimeline(&entries);
  std::cout << (options.html != 0
                    ? camphorferry::process::TimelineToHtml(entries)
                    : camphorferry::process::TimelineToText(entries));
  return complete ? kExitOk : kExitNoAnswer;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ReadOptions(argc, argv, &options)) return kExitUsage;
  if (options.version != 0) {
    std::cout << "camphorferry-timeline 0.1.0\n";
    return kExitOk;
  }
  if (options.operators.empty()) {
    std::cerr << "camphorferry-timeline: give at least one --operator\n";
    return kExitUsage;
  }
  try {
    return Run(options);
  } catch (const camphorferry::common::Error& error) {
    std::cerr << "camphorferry-timeline: " << error.what() << "\n";
    return kExitUsage;
  }
}
