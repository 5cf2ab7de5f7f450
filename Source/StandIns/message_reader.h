#ifndef CAMPHORFERRY_STANDINS_MESSAGE_READER_H_
#define CAMPHORFERRY_STANDINS_MESSAGE_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "Common/common.h"

namespace camphorferry::standins {

/// What is wrong with a message.
enum class MessageFault {
  kNotJson,
  kNotAnObject,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnknownField,
};

/// A message was not well-formed.
class BadMessageError : public common::Error {
 public:
  BadMessageError(MessageFault fault, const std::string& field);

  MessageFault Fault() const { return this->fault; }
  const std::string& Field() const { return this->field; }

 private:
  MessageFault fault;
  std::string field;
};

/// Reads the fields of a JSON object; all functions throw BadMessageError. A
/// field that is null counts as absent.
class MessageReader {
 public:
  /// Parses a message body.
  explicit MessageReader(const std::string& body);
  /// Reads a part of a message.
  explicit MessageReader(nlohmann::json object);

  /// True if the field is present.
  bool Has(const std::string& name);

  /// Value of a required field.
  const nlohmann::json& Value(const std::string& name);
  std::string Text(const std::string& name);
  std::uint64_t Unsigned(const std::string& name);
  bool Boolean(const std::string& name);
  common::LogPosition Position(const std::string& name);

  /// A time in milliseconds, at most an hour; nothing if absent.
  std::optional<common::Duration> Milliseconds(const std::string& name);

  /// Throws if the object has a field that was not asked for.
  void RejectUnknown() const;

 private:
  nlohmann::json object;
  std::set<std::string> known;
};

/// A position as it is written in messages: [term, index].
nlohmann::json PositionToJson(common::LogPosition position);

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_MESSAGE_READER_H_
