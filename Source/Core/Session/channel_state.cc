#include "Session/channel_state.h"

namespace camphorferry::session {

namespace {

/// Maximum number of prepared statements on one channel. Beyond it the channel
/// is reset, so that clients cannot make an endpoint store any number of them.
constexpr std::size_t kMaxPreparedStatements = 256;

}  // namespace

std::optional<ChannelPreparation> ChannelState::NextPreparation(
    const SessionValues& values,
    const std::optional<PreparedShape>& shape) const {
  if (this->NeedsReset(values)) return ResetChannel{};
  const bool must_prepare =
      shape.has_value() && !this->prepared.contains(*shape);
  if (must_prepare && this->prepared.size() >= kMaxPreparedStatements) {
    return ResetChannel{};
  }
  for (const auto& [name, value] : values) {
    const auto found = this->applied_values.find(name);
    if (found == this->applied_values.end() || found->second != value) {
      return SetChannelValue{name, value};
    }
  }
  if (must_prepare) {
    return PrepareOnChannel{"p" + std::to_string(this->next_name), *shape};
  }
  return std::nullopt;
}

std::size_t ChannelState::PreparationCount(const SessionValues& values) const {
  if (this->NeedsReset(values)) return 1 + values.size();
  std::size_t count = 0;
  for (const auto& [name, value] : values) {
    const auto found = this->applied_values.find(name);
    if (found == this->applied_values.end() || found->second != value) ++count;
  }
  return count;
}

void ChannelState::OnApplied(const ChannelPreparation& preparation) {
  std::visit(common::Overloaded{
                 [this](const ResetChannel&) {
                   this->applied_values.clear();
                   this->prepared.clear();
                 },
                 [this](const SetChannelValue& set) {
                   this->applied_values[set.name] = set.value;
                 },
                 [this](const PrepareOnChannel& prepare) {
                   this->prepared[prepare.shape] = prepare.endpoint_name;
                   ++this->next_name;
                 },
             },
             preparation);
}

void ChannelState::ForgetPrepared(const PreparedShape& shape) {
  this->prepared.erase(shape);
}

const std::string& ChannelState::PreparedName(
    const PreparedShape& shape) const {
  return this->prepared.at(shape);
}

std::size_t ChannelState::Bytes() const {
  std::size_t bytes = 0;
  for (const auto& [name, value] : this->applied_values) {
    bytes += name.size() + value.size();
  }
  for (const auto& [shape, name] : this->prepared) {
    bytes += shape.shape.size() + name.size();
  }
  return bytes;
}

bool ChannelState::NeedsReset(const SessionValues& values) const {
  for (const auto& [name, value] : this->applied_values) {
    if (!values.contains(name)) return true;
  }
  return false;
}

}  // namespace camphorferry::session
