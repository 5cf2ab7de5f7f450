#include "Session/peer_clocks.h"

#include <charconv>

namespace camphorferry::session {

namespace {

/// A statement that has travelled longer than a later one is kept for this
/// long, in which clocks drift by a few milliseconds.
constexpr std::chrono::minutes kMaxAge(1);

/// Reads a whole number that must end at the end of the text.
template <typename Number>
bool Parse(std::string_view text, Number* number) {
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, *number);
  return result.ec == std::errc() && result.ptr == end;
}

}  // namespace

std::string ToText(const ProcessTime& time) {
  return std::to_string(time.process) + ":" + std::to_string(time.time.count());
}

std::optional<ProcessTime> ParseProcessTime(std::string_view text) {
  const std::size_t mark = text.find(':');
  if (mark == std::string_view::npos) return std::nullopt;
  ProcessTime time;
  std::chrono::milliseconds::rep count = 0;
  if (!Parse(text.substr(0, mark), &time.process) ||
      !Parse(text.substr(mark + 1), &count)) {
    return std::nullopt;
  }
  time.time = std::chrono::milliseconds(count);
  return time;
}

ProcessTime OwnClock::At(common::SteadyTime at) const {
  return {this->process, common::ToMilliseconds(at.time_since_epoch())};
}

common::SteadyTime OwnClock::FromPeer(const ProcessTime& time) const {
  if (time.process != this->process) return common::SteadyTime();
  return common::SteadyTime(time.time);
}

ProcessTime PeerClocks::Advance(const Clock& clock, common::SteadyTime at) {
  return {clock.stated.process,
          clock.stated.time + common::ToMilliseconds(at - clock.received)};
}

void PeerClocks::OnStated(const std::string& address, const ProcessTime& stated,
                          common::SteadyTime received) {
  if (stated.process == 0) return;
  const auto [place, is_new] =
      this->clocks.try_emplace(address, Clock{stated, received});
  if (is_new) return;
  Clock& known = place->second;
  const bool same_process = known.stated.process == stated.process;
  // The statement that has travelled for the shortest time is the best one.
  const bool better = Advance(known, received).time <= stated.time;
  if (!same_process || better || received - known.received > kMaxAge) {
    known = {stated, received};
  }
}

std::optional<ProcessTime> PeerClocks::At(const std::string& address,
                                          common::SteadyTime at) const {
  const auto found = this->clocks.find(address);
  if (found == this->clocks.end()) return std::nullopt;
  return Advance(found->second, at);
}

}  // namespace camphorferry::session
