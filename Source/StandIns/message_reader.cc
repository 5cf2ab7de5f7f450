#include "StandIns/message_reader.h"

#include <chrono>
#include <utility>

namespace camphorferry::standins {

namespace {

using nlohmann::json;

/// One hour. Much larger values would overflow a timer.
constexpr std::uint64_t kMaxDurationMs = 3'600'000;

std::string DescribeError(MessageError kind) {
  switch (kind) {
    case MessageError::kNotJson:
      return "the message is not JSON";
    case MessageError::kNotAnObject:
      return "expected an object";
    case MessageError::kMissingField:
      return "missing field";
    case MessageError::kWrongType:
      return "wrong type";
    case MessageError::kOutOfRange:
      return "value out of range";
    case MessageError::kUnknownField:
      return "unknown field";
  }
  return "invalid message";
}

json ParseBody(const std::string& body) {
  json parsed = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) throw BadMessageError(MessageError::kNotJson, "");
  return parsed;
}

}  // namespace

BadMessageError::BadMessageError(MessageError kind, const std::string& field)
    : Error(DescribeError(kind) + (field.empty() ? "" : ": " + field)),
      kind(kind),
      field(field) {}

MessageReader::MessageReader(const std::string& body)
    : MessageReader(ParseBody(body)) {}

MessageReader::MessageReader(json object) : object(std::move(object)) {
  if (!this->object.is_object()) {
    throw BadMessageError(MessageError::kNotAnObject, "");
  }
}

bool MessageReader::Has(const std::string& name) {
  this->requested_fields.insert(name);
  const auto found = this->object.find(name);
  return found != this->object.end() && !found->is_null();
}

const json& MessageReader::Value(const std::string& name) {
  if (!this->Has(name)) {
    throw BadMessageError(MessageError::kMissingField, name);
  }
  return this->object[name];
}

std::string MessageReader::Text(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_string()) throw BadMessageError(MessageError::kWrongType, name);
  return value.get<std::string>();
}

std::uint64_t MessageReader::Unsigned(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_number_unsigned()) {
    throw BadMessageError(MessageError::kWrongType, name);
  }
  return value.get<std::uint64_t>();
}

bool MessageReader::Boolean(const std::string& name) {
  const json& value = this->Value(name);
  if (!value.is_boolean()) {
    throw BadMessageError(MessageError::kWrongType, name);
  }
  return value.get<bool>();
}

common::LogPosition MessageReader::Position(const std::string& name) {
  const json& value = this->Value(name);
  const bool valid = value.is_array() && value.size() == 2 &&
                     value[0].is_number_unsigned() &&
                     value[1].is_number_unsigned();
  if (!valid) throw BadMessageError(MessageError::kWrongType, name);
  return {value[0].get<common::Term>(), value[1].get<common::LogIndex>()};
}

std::optional<common::Duration> MessageReader::Milliseconds(
    const std::string& name) {
  if (!this->Has(name)) return std::nullopt;
  const std::uint64_t count = this->Unsigned(name);
  if (count > kMaxDurationMs) {
    throw BadMessageError(MessageError::kOutOfRange, name);
  }
  return std::chrono::milliseconds(count);
}

void MessageReader::RejectUnknownFields() const {
  for (const auto& [name, value] : this->object.items()) {
    if (!this->requested_fields.contains(name)) {
      throw BadMessageError(MessageError::kUnknownField, name);
    }
  }
}

json PositionToJson(common::LogPosition position) {
  return json::array({position.term, position.index});
}

}  // namespace camphorferry::standins
