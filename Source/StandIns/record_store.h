#ifndef CAMPHORFERRY_STANDINS_RECORD_STORE_H_
#define CAMPHORFERRY_STANDINS_RECORD_STORE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "Request/request.h"

namespace camphorferry::standins {

/// In-memory key-value store with the records of a database, by table and key.
class RecordStore {
 public:
  /// Executes the operations as one transaction, in order; each sees the
  /// effects of the previous ones. Returns one result for each operation: the
  /// value or null for get, the new value for add, a list of {"key", "value"}
  /// for scan, and null for put, insert and delete. Returns nullopt and changes
  /// nothing on a conflict: an insert of an existing key, an add to a record
  /// that is not an integer, or an add that overflows a 64-bit integer.
  std::optional<nlohmann::json> Apply(const request::Operations& operations);

  /// Executes read-only operations.
  nlohmann::json Read(const request::Operations& operations) const;

  /// All tables as a JSON object, with an object of records for each table.
  nlohmann::json Dump() const;

  void Clear();

 private:
  std::map<std::pair<std::string, std::string>, nlohmann::json> records;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_RECORD_STORE_H_
