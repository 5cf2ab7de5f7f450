#ifndef CAMPHORFERRY_COMMON_FAULT_LIST_H_
#define CAMPHORFERRY_COMMON_FAULT_LIST_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/error.h"

namespace camphorferry::common {

/// What is wrong with an entry of a file that people write.
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

/// Name of a fault kind, as in messages and JSON.
std::string_view ToString(FaultKind kind);

/// One fault of one file.
struct Fault {
  FaultKind kind = FaultKind::kSyntax;
  std::string file;
  /// Line of the entry; 0 if the fault has no place in the file.
  std::uint32_t line = 0;
  /// Dotted name of the entry, such as "listen.clients".
  std::string key;
  std::string found;
  std::string allowed;

  bool operator==(const Fault&) const = default;
};

using FaultList = std::vector<Fault>;

/// One line: file, line, key, kind, what was found and what is allowed.
std::string ToText(const Fault& fault);

/// Files have faults; all of them are reported at once, so that people need not
/// repair and try again for each.
class FaultListError : public Error {
 public:
  explicit FaultListError(FaultList faults);

  const FaultList& Faults() const { return this->faults; }

 private:
  FaultList faults;
};

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_FAULT_LIST_H_
