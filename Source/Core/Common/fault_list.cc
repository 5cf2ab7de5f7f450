#include "Common/fault_list.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorferry::common {

namespace {

/// Sorts the faults by file and line.
FaultList SortByLocation(FaultList faults) {
  std::stable_sort(faults.begin(), faults.end(),
                   [](const Fault& left, const Fault& right) {
                     return std::tie(left.file, left.line) <
                            std::tie(right.file, right.line);
                   });
  return faults;
}

std::string JoinLines(const FaultList& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    if (!text.empty()) text += "\n";
    text += ToText(fault);
  }
  return text;
}

}  // namespace

std::string_view ToString(FaultKind kind) {
  switch (kind) {
    case FaultKind::kUnreadableFile:
      return "unreadable_file";
    case FaultKind::kSyntax:
      return "syntax";
    case FaultKind::kUnknownKey:
      return "unknown_key";
    case FaultKind::kMissingKey:
      return "missing_key";
    case FaultKind::kWrongType:
      return "wrong_type";
    case FaultKind::kNotAllowed:
      return "not_allowed";
    case FaultKind::kDuplicate:
      return "duplicate";
    case FaultKind::kUnknownReference:
      return "unknown_reference";
    case FaultKind::kContradiction:
      return "contradiction";
  }
  return "invalid";
}

std::string ToText(const Fault& fault) {
  std::string text = fault.file;
  if (fault.line > 0) text += ":" + std::to_string(fault.line);
  text += ": ";
  if (!fault.key.empty()) text += fault.key + ": ";
  text += ToString(fault.kind);
  if (!fault.found.empty()) text += "; found " + fault.found;
  if (!fault.allowed.empty()) text += "; allowed: " + fault.allowed;
  return text;
}

FaultListError::FaultListError(FaultList faults)
    : Error(JoinLines(SortByLocation(faults))),
      faults(SortByLocation(std::move(faults))) {}

}  // namespace camphorferry::common
