#include "Session/member_command.h"

#include <memory>
#include <utility>

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

CommandCallback CombineAttempts(std::size_t attempts, CommandCallback done) {
  struct Progress {
    std::size_t pending;
    bool sent = false;
    CommandCallback done;
  };
  const auto progress =
      std::make_shared<Progress>(Progress{attempts, false, std::move(done)});
  return [progress](const CommandResult& result) {
    progress->sent |= result.sent;
    const bool last = --progress->pending == 0;
    if (!progress->done || (!last && !result.status.has_value())) return;
    std::exchange(progress->done, nullptr)({result.status, progress->sent});
  };
}

}  // namespace camphorferry::session
