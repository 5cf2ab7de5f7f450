#include "Session/member_command.h"

namespace camphorferry::session {

std::string Encode(const WireCodec& codec, const MemberCommand& command) {
  switch (command.kind) {
    case MemberCommandKind::kStatus:
      return codec.EncodeStatus();
    case MemberCommandKind::kStepDown:
      return codec.EncodeStepDown(command.term);
    case MemberCommandKind::kHold:
      return codec.EncodeHold(command.term);
    case MemberCommandKind::kResume:
      return codec.EncodeResume();
  }
  return codec.EncodeStatus();
}

}  // namespace camphorferry::session
