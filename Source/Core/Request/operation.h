#ifndef CAMPHORFERRY_REQUEST_OPERATION_H_
#define CAMPHORFERRY_REQUEST_OPERATION_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "Common/common.h"

namespace camphorferry::request {

/// Reads one record; the result is null if the record does not exist.
struct GetOperation {
  std::string table;
  std::string key;
};

/// Writes one record, replacing an existing one.
struct PutOperation {
  std::string table;
  std::string key;
  nlohmann::json value;
};

/// Adds to an integer record; a missing record counts as 0.
struct AddOperation {
  std::string table;
  std::string key;
  std::int64_t amount = 0;
};

/// Creates one record; the transaction fails with a conflict if the key exists.
struct InsertOperation {
  std::string table;
  std::string key;
  nlohmann::json value;
};

/// Removes one record; it is not an error if the record does not exist.
struct DeleteOperation {
  std::string table;
  std::string key;
};

/// Reads the records whose key starts with the prefix, in key order.
struct ScanOperation {
  std::string table;
  std::string prefix;
  std::uint32_t limit = 0;
};

using Operation = std::variant<GetOperation, PutOperation, AddOperation,
                               InsertOperation, DeleteOperation, ScanOperation>;

/// The operations of one statement; they are applied atomically.
using Operations = std::vector<Operation>;

/// What is wrong with an operation that could not be parsed.
enum class OperationFault {
  kNotAList,
  kEmptyList,
  kTooMany,
  kNotAnObject,
  kUnknownName,
  kMissingField,
  kWrongType,
  kUnknownField,
  kOutOfRange,
};

/// A list of operations was malformed.
class BadOperationError : public common::Error {
 public:
  BadOperationError(OperationFault fault, std::size_t index,
                    const std::string& field);

  OperationFault Fault() const { return this->fault; }
  /// Zero-based position of the faulty operation in the list.
  std::size_t Index() const { return this->index; }

 private:
  OperationFault fault;
  std::size_t index;
};

/// Maximum number of operations in one statement.
inline constexpr std::size_t kMaxOperations = 64;
/// Maximum number of records that one scan returns.
inline constexpr std::uint32_t kMaxScanLimit = 1000;

/// Parses a JSON array of operations; throws BadOperationError.
Operations ParseOperations(const nlohmann::json& list);

/// Converts operations to the JSON array that ParseOperations reads.
nlohmann::json OperationsToJson(const Operations& operations);

/// True if no operation writes.
bool IsReadOnly(const Operations& operations);

}  // namespace camphorferry::request

#endif  // CAMPHORFERRY_REQUEST_OPERATION_H_
