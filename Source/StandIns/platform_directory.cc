#include "StandIns/platform_directory.h"

#include <utility>

#include "StandIns/message_reader.h"

namespace camphorferry::standins {

namespace {

using nlohmann::json;

json ParseMembers(MessageReader* message, const std::string& name) {
  json members = message->Value(name);
  if (!members.is_array()) {
    throw BadMessageError(MessageError::kWrongType, name);
  }
  for (const json& member : members) {
    MessageReader reader(member);
    reader.Text("id");
    reader.Text("address");
    reader.Text("domain");
    const std::string state = reader.Text("state");
    if (state != "live" && state != "leaving") {
      throw BadMessageError(MessageError::kOutOfRange, "state");
    }
    reader.RejectUnknownFields();
  }
  return members;
}

}  // namespace

void PlatformDirectory::SetHosts(const std::string& body) {
  MessageReader message(body);
  json members = ParseMembers(&message, "hosts");
  message.RejectUnknownFields();
  this->Publish(&this->hosts, std::move(members));
}

void PlatformDirectory::SetGroup(const std::string& body) {
  MessageReader message(body);
  const std::string service = message.Text("service");
  json members = ParseMembers(&message, "databases");
  message.RejectUnknownFields();
  this->Publish(&this->groups[service], std::move(members));
}

std::optional<json> PlatformDirectory::Group(const std::string& service) const {
  const auto found = this->groups.find(service);
  if (found == this->groups.end() || found->second.is_null()) {
    return std::nullopt;
  }
  return found->second;
}

void PlatformDirectory::Publish(json* target, json value) {
  if (this->publish_delay == common::Duration::zero()) {
    *target = std::move(value);
    return;
  }
  this->loop->RunLater(this->publish_delay,
                       [target, value = std::move(value)] { *target = value; });
}

}  // namespace camphorferry::standins
