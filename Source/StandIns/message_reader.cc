#include "StandIns/message_reader.h"

#include <chrono>
#include <utility>

namespace camphorferry::standins {

namespace {

using nlohmann::json;

/// Larger times would overflow a timer and have no use.
constexpr std::uint64_t kMaxMilliseconds = 3'600'000;

std::string FaultText(MessageFault fault) {
  switch (fault) {
    case MessageFault::kNotJson:
      return "the message is not JSON";
    case MessageFault::kNotAnObject:
      return "expected an object";
    case MessageFault::kMissingField:
      return "missing field";
    case MessageFault::kWrongType:
      return "wrong type";
    case MessageFault::kOutOfRange:
      return "value out of range";
    case MessageFault::kUnknownField:
      return "unknown field";
  }
  return "invalid message";
}

json ParseBody(const std::string& body) {
  json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) throw BadMessageError(MessageFault::kNotJson, "");
  return parsed;
}

}  // namespace

BadMessageError::BadMessageError(MessageFault fault, const std::string& field)
    : Error(FaultText(fault) + (field.empty() ? "" : ": " + field)),
      fault(fault),
      field(field) {}

MessageReader::MessageReader(const std::string& body)
    : MessageReader(ParseBody(body)) {}

MessageReader::MessageReader(json object) : object(std::move(object)) {
  if (!this->object.is_object()) {
    throw BadMessageError(MessageFault::kNotAnObject, "");
  }
}

bool MessageReader::Has(const std::string& name) {
  this->known.insert(name);
  const auto found = this->object.find(name);
  return found != this->object.end() && !found->is_null();
}

const json& MessageReader::Value(const std::string& name) {
  if (!this->Has(name)) {
    throw BadMessageError(MessageFault::kMissingField, name);
  }
  return this->object[name];
}

std::string MessageReader::Text(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_string()) throw BadMessageError(MessageFault::kWrongType, name);
  return value.get<std::string>();
}

std::uint64_t MessageReader::Unsigned(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_number_unsigned()) {
    throw BadMessageError(MessageFault::kWrongType, name);
  }
  return value.get<std::uint64_t>();
}

bool MessageReader::Boolean(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_boolean()) {
    throw BadMessageError(MessageFault::kWrongType, name);
  }
  return value.get<bool>();
}

common::LogPosition MessageReader::Position(const std::string& name) {
  const json& value = this->Value(name);
  const bool valid = value.is_array() && value.size() == 2 &&
                     value[0].is_number_unsigned() &&
                     value[1].is_number_unsigned();
  if (!valid) throw BadMessageError(MessageFault::kWrongType, name);
  return {value[0].get<common::Term>(), value[1].get<common::LogIndex>()};
}

std::optional<common::Duration> MessageReader::Milliseconds(
    const std::string& name) {
  if (!this->Has(name)) return std::nullopt;
  const std::uint64_t count = this->Unsigned(name);
  if (count > kMaxMilliseconds) {
    throw BadMessageError(MessageFault::kOutOfRange, name);
  }
  return std::chrono::milliseconds(count);
}

void MessageReader::RejectUnknown() const {
  for (const auto& [name, value] : this->object.items()) {
    if (!this->known.contains(name)) {
      throw BadMessageError(MessageFault::kUnknownField, name);
    }
  }
}

json PositionToJson(common::LogPosition position) {
  return json::array({position.term, position.index});
}

}  // namespace camphorferry::standins
