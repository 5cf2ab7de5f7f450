#include "Session/promotion_evidence.h"

namespace camphorferry::session {

namespace {

/// Three lists of this length and the other fields fit into the 4,096 bytes
/// that a log line may have.
constexpr std::size_t kMaxListLength = 1000;

std::string Describe(const MemberEvidence& member) {
  const std::string& id = member.endpoint.Value();
  if (!member.is_registered) return id + ":former";
  if (!member.age.has_value()) return id + ":no_answer";
  std::string state = member.is_stale ? "stale" : "not_held";
  if (member.is_held) state = "held";
  return id + ":" + state + ":" + std::to_string(member.held_term) + ":" +
         std::to_string(member.received.term) + "." +
         std::to_string(member.received.index) + ":" +
         std::to_string(common::ToMilliseconds(*member.age).count());
}

}  // namespace

std::string JoinForLog(const std::vector<std::string>& entries) {
  std::string text;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const char* separator = i == 0 ? "" : ",";
    if (text.size() + entries[i].size() + 1 > kMaxListLength) {
      return text + separator + "+" + std::to_string(entries.size() - i);
    }
    text += separator + entries[i];
  }
  return text;
}

std::string DescribeIds(const std::set<common::EndpointId>& ids) {
  std::vector<std::string> entries;
  entries.reserve(ids.size());
  for (const common::EndpointId& id : ids) entries.push_back(id.Value());
  return JoinForLog(entries);
}

std::string DescribeMembers(const std::vector<GroupMember>& members) {
  std::vector<std::string> entries;
  entries.reserve(members.size());
  for (const GroupMember& member : members) {
    const bool leaving = member.state == MemberState::kLeaving;
    entries.push_back(member.id.Value() + (leaving ? ":leaving" : ":ready"));
  }
  return JoinForLog(entries);
}

std::string DescribeEvidence(const std::vector<MemberEvidence>& evidence) {
  std::vector<std::string> entries;
  entries.reserve(evidence.size());
  for (const MemberEvidence& member : evidence) {
    entries.push_back(Describe(member));
  }
  return JoinForLog(entries);
}

std::string DescribeMissing(const std::vector<MemberEvidence>& evidence) {
  std::set<common::EndpointId> missing;
  for (const MemberEvidence& member : evidence) {
    if (member.is_missing) missing.insert(member.endpoint);
  }
  return DescribeIds(missing);
}

}  // namespace camphorferry::session
