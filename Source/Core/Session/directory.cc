#include "Session/directory.h"

namespace camphorferry::session {

const char* ToString(DirectoryKind kind) {
  switch (kind) {
    case DirectoryKind::kConfiguration:
      return "configuration";
    case DirectoryKind::kMembers:
      return "members";
    case DirectoryKind::kHosts:
      return "hosts";
    case DirectoryKind::kEvacuations:
      return "evacuations";
  }
  return "unknown";
}

std::uint64_t FencingToken(const PromotionLeaseRecord& record) {
  constexpr int kRevisionBits = 40;
  return (record.held_since.era << kRevisionBits) | record.held_since.number;
}

}  // namespace camphorferry::session
