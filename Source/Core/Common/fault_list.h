#ifndef CAMPHORFERRY_COMMON_FAULT_LIST_H_
#define CAMPHORFERRY_COMMON_FAULT_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/error.h"

namespace camphorferry::common {

/// Kind of fault that validation finds in a configuration file.
enum class FaultKind {
  kUnreadableFile,
  kSyntax,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kNotAllowed,
  kDuplicate,
  kUnknownReference,
  kContradiction,
};

/// Name of a fault kind, as used in messages and JSON.
std::string_view ToString(FaultKind kind);

/// One validation fault in one file.
struct Fault {
  FaultKind kind = FaultKind::kSyntax;
  std::string file;
  /// Line of the entry; 0 if the fault has no position in the file.
  std::uint32_t line = 0;
  /// Dotted name of the entry, such as "listen.clients".
  std::string key;
  std::string found;
  std::string allowed;

  bool operator==(const Fault&) const = default;
};

using FaultList = std::vector<Fault>;

/// Formats a fault as one line of text: file, line number, key, kind, what was
/// found and what is allowed.
std::string ToText(const Fault& fault);

/// Files are invalid. All faults are reported together, so that an operator can
/// correct them in one pass. The message lists them one a line.
class FaultListError : public Error {
 public:
  explicit FaultListError(FaultList faults);

  const FaultList& Faults() const { return this->faults; }

 private:
  FaultList faults;
};

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_FAULT_LIST_H_
