#include "Session/departures.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

/// A member gets no statements after this time. It may end 7,000 ms after its
/// announcement, which may have been learned late.
constexpr std::chrono::milliseconds kMaxUseAfterNotice(6000);

}  // namespace

void Departures::OnMembers(const std::vector<GroupMember>& present,
                           common::SteadyTime now) {
  const auto former = std::exchange(this->members, {});
  for (const GroupMember& entry : present) {
    State& state = this->members[entry.id];
    state.incarnation = entry.incarnation;
    state.leaving = entry.state == MemberState::kLeaving;
    if (!state.leaving) continue;
    const auto known = former.find(entry.id);
    if (known == former.end() ||
        known->second.incarnation != entry.incarnation) {
      continue;
    }
    state.learned = known->second.leaving
                        ? known->second.learned
                        : std::optional<common::SteadyTime>(now);
  }
}

void Departures::OnPeerNotice(const common::EndpointId& endpoint,
                              std::uint64_t incarnation,
                              common::SteadyTime learned) {
  const auto found = this->members.find(endpoint);
  if (found == this->members.end()) return;
  State& state = found->second;
  if (!state.leaving || state.incarnation != incarnation) return;
  state.learned = std::min(state.learned.value_or(learned), learned);
}

bool Departures::MayUse(const common::EndpointId& endpoint,
                        common::SteadyTime now) const {
  const auto found = this->members.find(endpoint);
  if (found == this->members.end() || !found->second.leaving) return true;
  const std::optional<common::SteadyTime>& learned = found->second.learned;
  return learned.has_value() && now - *learned < kMaxUseAfterNotice;
}

std::vector<DepartureNotice> Departures::Notices(common::SteadyTime now) const {
  std::vector<DepartureNotice> notices;
  for (const auto& [endpoint, state] : this->members) {
    if (!state.learned.has_value()) continue;
    notices.push_back({endpoint, state.incarnation, now - *state.learned});
  }
  return notices;
}

}  // namespace camphorferry::session
