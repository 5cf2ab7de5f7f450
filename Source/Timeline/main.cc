#include <popt.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "Process/process.h"

/// Fetches the recorded events of the given daemons over HTTP and prints them
/// as one timeline, ordered by time.

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
constexpr int kExitUnreachable = 4;
constexpr std::chrono::seconds kRequestTimeout(5);

/// Command line options.
struct Options {
  int print_html = 0;
  int print_version = 0;
  std::vector<std::string> operator_addresses;
};

/// Parses the command line. Prints a message and returns false on a usage
/// error.
bool ParseOptions(int argc, const char** argv, Options* options) {
  char* operator_address = nullptr;
  constexpr int kOperatorOption = 1;
  const poptOption table[] = {
      {"operator", 'o', POPT_ARG_STRING, &operator_address, kOperatorOption,
       "Operators' listener of a daemon; may be given several times",
       "IP:PORT"},
      {"html", 0, POPT_ARG_NONE, &options->print_html, 0,
       "Print a self-contained HTML page instead of text", nullptr},
      {"version", 0, POPT_ARG_NONE, &options->print_version, 0,
       "Print the version and exit", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  int result = poptGetNextOpt(context);
  while (result > 0) {
    options->operator_addresses.emplace_back(operator_address);
    result = poptGetNextOpt(context);
  }
  const bool valid = result == -1 && poptPeekArg(context) == nullptr;
  if (!valid) {
    std::cerr << "camphorferry-timeline: invalid arguments; see --help\n";
  }
  poptFreeContext(context);
  return valid;
}

/// Fetches the events of one daemon and appends them. Prints a message and
/// returns false if the daemon does not respond.
bool FetchEvents(const std::string& address,
                 std::vector<TimelineEntry>* entries) {
  HttpRequest request;
  request.path = "/operator/v1/events";
  const HttpResult result =
      SendHttpBlocking(ParseSocketAddress(address), request, kRequestTimeout);
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
  bool all_responded = true;
  for (const std::string& address : options.operator_addresses) {
    all_responded = FetchEvents(address, &entries) && all_responded;
  }
  camphorferry::process::SortTimeline(&entries);
  std::cout << (options.print_html != 0
                    ? camphorferry::process::TimelineToHtml(entries)
                    : camphorferry::process::TimelineToText(entries));
  return all_responded ? kExitOk : kExitUnreachable;
}

}  // namespace

int main(int argc, const char** argv) {
  Options options;
  if (!ParseOptions(argc, argv, &options)) return kExitUsage;
  if (options.print_version != 0) {
    std::cout << "camphorferry-timeline 0.1.0\n";
    return kExitOk;
  }
  if (options.operator_addresses.empty()) {
    std::cerr << "camphorferry-timeline: at least one --operator is required\n";
    return kExitUsage;
  }
  try {
    return Run(options);
  } catch (const camphorferry::common::Error& error) {
    std::cerr << "camphorferry-timeline: " << error.what() << "\n";
    return kExitUsage;
  }
}
