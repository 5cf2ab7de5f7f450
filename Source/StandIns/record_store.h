#ifndef CAMPHORFERRY_STANDINS_RECORD_STORE_H_
#define CAMPHORFERRY_STANDINS_RECORD_STORE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "Request/request.h"

namespace camphorferry::standins {

/// The records of a database, by table and key.
class RecordStore {
 public:
  /// Runs the operations in order, each seeing the effects of those before it.
  /// Returns one result for each: the value or null for get, the new value for
  /// add, a list of {"key", "value"} for scan, and null for put, insert and
  /// delete. Returns nothing and changes nothing if the transaction conflicts:
  /// an insert of an existing key, an add to a record that is not an integer,
  /// or an add that leaves the range of 64-bit integers.
  std::optional<nlohmann::json> Apply(const request::Operations& operations);

  /// Runs operations that only read.
  nlohmann::json Read(const request::Operations& operations) const;

  /// All tables as an object of objects.
  nlohmann::json Dump() const;

  /// Removes all records.
  void Clear();

 private:
  std::map<std::pair<std::string, std::string>, nlohmann::json> records;
};

}  // namespace camphorferry::standins

#endif  // CAMPHORFERRY_STANDINS_RECORD_STORE_H_
