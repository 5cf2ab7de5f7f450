#ifndef CAMPHORFERRY_STANDINS_MESSAGE_READER_H_
#define CAMPHORFERRY_STANDINS_MESSAGE_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "Common/common.h"

namespace camphorferry::standins {

/// Kinds of errors in a message.
enum class MessageError {
  kNotJson,
  kNotAnObject,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnknownField,
};

/// Thrown for a malformed message.
class BadMessageError : public common::Error {
 public:
  BadMessageError(MessageError kind, const std::string& field);

  MessageError Kind() const { return this->kind; }
  const std::string& Field() const { return this->field; }

 private:
  MessageError kind;
  std::string field;
};

/// Reads the fields of a JSON object with type checks. Functions throw
/// BadMessageError on invalid input. A field that is null counts as absent.
class MessageReader {
 public:
  /// Parses a message body.
  explicit MessageReader(const std::string& body);
  /// Reads an object that is nested in a message.
  explicit MessageReader(nlohmann::json object);

  /// True if the field is present.
  bool Has(const std::string& name);

  /// Returns the value of a required field.
  const nlohmann::json& Value(const std::string& name);
  std::string Text(const std::string& name);
  std::uint64_t Unsigned(const std::string& name);
  bool Boolean(const std::string& name);
  common::LogPosition Position(const std::string& name);

  /// Returns a duration in milliseconds of at most one hour; nullopt if absent.
  std::optional<common::Duration> Milliseconds(const std::string& name);

  /// Throws if the object has a field that has not been read or tested.
  void RejectUnknownFields() const;

 private:
  nlohmann::json object;
  std::set<std::string> requested_fields;
};

/// Converts a position to its JSON form: [term, index].
nlohmann::json PositionToJson(common::LogPosition position);

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_MESSAGE_READER_H_
