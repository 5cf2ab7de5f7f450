#include "Request/operation.h"

#include <initializer_list>
#include <limits>
#include <string_view>

namespace camphorferry::request {

namespace {

using nlohmann::json;

/// Reads the fields of one operation and throws BadOperationError with the
/// position of the operation in the list.
class FieldReader {
 public:
  FieldReader(const json& object, std::size_t index)
      : object(object), index(index) {
    if (!object.is_object()) this->Fail(OperationFault::kNotAnObject, "");
  }

  [[noreturn]] void Fail(OperationFault fault, const std::string& field) const {
    throw BadOperationError(fault, this->index, field);
  }

  std::string Text(const char* name) const {
    const json& value = this->Required(name);
    if (!value.is_string()) this->Fail(OperationFault::kWrongType, name);
    return value.get<std::string>();
  }

  std::int64_t Integer(const char* name) const {
    const json& value = this->Required(name);
    if (!value.is_number_integer()) {
      this->Fail(OperationFault::kWrongType, name);
    }
    // Converting such a value would wrap around: 2^64 - 1 would become -1.
    constexpr auto kMaxInt64 = std::numeric_limits<std::int64_t>::max();
    if (value.is_number_unsigned() && value.get<std::uint64_t>() > kMaxInt64) {
      this->Fail(OperationFault::kOutOfRange, name);
    }
    return value.get<std::int64_t>();
  }

  const json& Required(const char* name) const {
    const auto found = this->object.find(name);
    if (found == this->object.end()) {
      this->Fail(OperationFault::kMissingField, name);
    }
    return *found;
  }

  void RejectFieldsExcept(std::initializer_list<std::string_view> names) const {
    for (const auto& [name, value] : this->object.items()) {
      bool known = name == "op";
      for (const std::string_view allowed : names) known |= name == allowed;
      if (!known) this->Fail(OperationFault::kUnknownField, name);
    }
  }

 private:
  const json& object;
  std::size_t index;
};

Operation ParseScan(const FieldReader& reader) {
  reader.RejectFieldsExcept({"table", "prefix", "limit"});
  const std::int64_t limit = reader.Integer("limit");
  if (limit < 1 || limit > kMaxScanLimit) {
    reader.Fail(OperationFault::kOutOfRange, "limit");
  }
  return ScanOperation{reader.Text("table"), reader.Text("prefix"),
                       static_cast<std::uint32_t>(limit)};
}

Operation ParseOperation(const json& object, std::size_t index) {
  const FieldReader reader(object, index);
  const std::string name = reader.Text("op");
  if (name == "scan") return ParseScan(reader);
  if (name == "get" || name == "delete") {
    reader.RejectFieldsExcept({"table", "key"});
    const std::string table = reader.Text("table");
    const std::string key = reader.Text("key");
    if (name == "get") return GetOperation{table, key};
    return DeleteOperation{table, key};
  }
  if (name == "add") {
    reader.RejectFieldsExcept({"table", "key", "amount"});
    return AddOperation{reader.Text("table"), reader.Text("key"),
                        reader.Integer("amount")};
  }
  if (name == "put" || name == "insert") {
    reader.RejectFieldsExcept({"table", "key", "value"});
    const std::string table = reader.Text("table");
    const std::string key = reader.Text("key");
    const json& value = reader.Required("value");
    if (name == "put") return PutOperation{table, key, value};
    return InsertOperation{table, key, value};
  }
  reader.Fail(OperationFault::kUnknownName, "op");
}

std::string FaultText(OperationFault fault) {
  switch (fault) {
    case OperationFault::kNotAList:
      return "operations must be a list";
    case OperationFault::kEmptyList:
      return "the list of operations is empty";
    case OperationFault::kTooMany:
      return "too many operations";
    case OperationFault::kNotAnObject:
      return "an operation must be an object";
    case OperationFault::kUnknownName:
      return "unknown operation";
    case OperationFault::kMissingField:
      return "missing field";
    case OperationFault::kWrongType:
      return "wrong type";
    case OperationFault::kUnknownField:
      return "unknown field";
    case OperationFault::kOutOfRange:
      return "value out of range";
  }
  return "invalid operation";
}

}  // namespace

BadOperationError::BadOperationError(OperationFault fault, std::size_t index,
                                     const std::string& field)
    : Error(FaultText(fault) + " at operation " + std::to_string(index) +
            (field.empty() ? "" : ", field " + field)),
      fault(fault),
      index(index) {}

Operations ParseOperations(const json& list) {
  if (!list.is_array()) {
    throw BadOperationError(OperationFault::kNotAList, 0, "");
  }
  if (list.empty()) throw BadOperationError(OperationFault::kEmptyList, 0, "");
  if (list.size() > kMaxOperations) {
    throw BadOperationError(OperationFault::kTooMany, kMaxOperations, "");
  }
  Operations operations;
  operations.reserve(list.size());
  for (const json& object : list) {
    operations.push_back(ParseOperation(object, operations.size()));
  }
  return operations;
}

json OperationsToJson(const Operations& operations) {
  json list = json::array();
  const common::Overloaded to_json{
      [](const GetOperation& op) {
        return json{{"op", "get"}, {"table", op.table}, {"key", op.key}};
      },
      [](const PutOperation& op) {
        return json{{"op", "put"},
                    {"table", op.table},
                    {"key", op.key},
                    {"value", op.value}};
      },
      [](const AddOperation& op) {
        return json{{"op", "add"},
                    {"table", op.table},
                    {"key", op.key},
                    {"amount", op.amount}};
      },
      [](const InsertOperation& op) {
        return json{{"op", "insert"},
                    {"table", op.table},
                    {"key", op.key},
                    {"value", op.value}};
      },
      [](const DeleteOperation& op) {
        return json{{"op", "delete"}, {"table", op.table}, {"key", op.key}};
      },
      [](const ScanOperation& op) {
        return json{{"op", "scan"},
                    {"table", op.table},
                    {"prefix", op.prefix},
                    {"limit", op.limit}};
      }};
  for (const Operation& operation : operations) {
    list.push_back(std::visit(to_json, operation));
  }
  return list;
}

bool IsReadOnly(const Operations& operations) {
  for (const Operation& operation : operations) {
    const bool reads = std::holds_alternative<GetOperation>(operation) ||
                       std::holds_alternative<ScanOperation>(operation);
    if (!reads) return false;
  }
  return true;
}

}  // namespace camphorferry::request
