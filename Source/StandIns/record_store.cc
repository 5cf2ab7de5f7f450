#include "StandIns/record_store.h"

#include <cstdint>
#include <limits>
#include <utility>
#include <variant>
#include <vector>

namespace camphorferry::standins {

namespace {

using nlohmann::json;
using RecordKey = std::pair<std::string, std::string>;
using Records = std::map<RecordKey, json>;

json GetRecord(const Records& records, const request::GetOperation& operation) {
  const auto found = records.find({operation.table, operation.key});
  return found == records.end() ? json() : found->second;
}

json ScanRecords(const Records& records,
                 const request::ScanOperation& operation) {
  json list = json::array();
  for (auto record = records.lower_bound({operation.table, operation.prefix});
       record != records.end() && list.size() < operation.limit; ++record) {
    const auto& [table, key] = record->first;
    if (table != operation.table) break;
    if (!key.starts_with(operation.prefix)) break;
    list.push_back({{"key", key}, {"value", record->second}});
  }
  return list;
}

/// Converts a record to a 64-bit integer; nullopt if it is not one.
std::optional<std::int64_t> ToInteger(const json& value) {
  if (!value.is_number_integer()) return std::nullopt;
  constexpr std::uint64_t kMaxInteger =
      std::numeric_limits<std::int64_t>::max();
  if (value.is_number_unsigned() && value.get<std::uint64_t>() > kMaxInteger) {
    return std::nullopt;
  }
  return value.get<std::int64_t>();
}

/// A transaction that changes records in place and keeps an undo log of the
/// replaced values for a rollback.
class RecordTransaction {
 public:
  explicit RecordTransaction(Records* records) : records(records) {}

  /// Executes one operation and returns its result; nullopt on a conflict.
  std::optional<json> Run(const request::Operation& operation) {
    return std::visit(
        common::Overloaded{
            [this](const request::GetOperation& get) -> std::optional<json> {
              return GetRecord(*this->records, get);
            },
            [this](const request::PutOperation& put) -> std::optional<json> {
              this->Set({put.table, put.key}, put.value);
              return json();
            },
            [this](const request::AddOperation& add) { return this->Add(add); },
            [this](const request::InsertOperation& insert) {
              return this->Insert(insert);
            },
            [this](
                const request::DeleteOperation& remove) -> std::optional<json> {
              this->Set({remove.table, remove.key}, std::nullopt);
              return json();
            },
            [this](const request::ScanOperation& scan) -> std::optional<json> {
              return ScanRecords(*this->records, scan);
            }},
        operation);
  }

  /// Restores the records to their state before the transaction.
  void RollBack() {
    for (auto change = this->undo_log.rbegin(); change != this->undo_log.rend();
         ++change) {
      this->Assign(change->first, std::move(change->second));
    }
    this->undo_log.clear();
  }

 private:
  std::optional<json> Add(const request::AddOperation& add) {
    const auto found = this->records->find({add.table, add.key});
    std::optional<std::int64_t> prior = 0;
    if (found != this->records->end()) prior = ToInteger(found->second);
    if (!prior) return std::nullopt;
    std::int64_t sum = 0;
    if (__builtin_add_overflow(*prior, add.amount, &sum)) return std::nullopt;
    this->Set({add.table, add.key}, json(sum));
    return json(sum);
  }

  std::optional<json> Insert(const request::InsertOperation& insert) {
    if (this->records->contains({insert.table, insert.key})) {
      return std::nullopt;
    }
    this->Set({insert.table, insert.key}, insert.value);
    return json();
  }

  void Set(const RecordKey& key, std::optional<json> value) {
    const auto found = this->records->find(key);
    std::optional<json> prior;
    if (found != this->records->end()) prior = found->second;
    this->undo_log.emplace_back(key, std::move(prior));
    this->Assign(key, std::move(value));
  }

  void Assign(const RecordKey& key, std::optional<json> value) {
    if (value) {
      this->records->insert_or_assign(key, *std::move(value));
    } else {
      this->records->erase(key);
    }
  }

  Records* records;
  std::vector<std::pair<RecordKey, std::optional<json>>> undo_log;
};

}  // namespace

std::optional<json> RecordStore::Apply(const request::Operations& operations) {
  RecordTransaction transaction(&this->records);
  json results = json::array();
  for (const request::Operation& operation : operations) {
    std::optional<json> result = transaction.Run(operation);
    if (!result) {
      transaction.RollBack();
      return std::nullopt;
    }
    results.push_back(*std::move(result));
  }
  return results;
}

json RecordStore::Read(const request::Operations& operations) const {
  json results = json::array();
  for (const request::Operation& operation : operations) {
    if (const auto* get = std::get_if<request::GetOperation>(&operation)) {
      results.push_back(GetRecord(this->records, *get));
    }
    if (const auto* scan = std::get_if<request::ScanOperation>(&operation)) {
      results.push_back(ScanRecords(this->records, *scan));
    }
  }
  return results;
}

json RecordStore::Dump() const {
  json tables = json::object();
  for (const auto& [key, value] : this->records) {
    tables[key.first][key.second] = value;
  }
  return tables;
}

void RecordStore::Clear() { this->records.clear(); }

}  // namespace camphorferry::standins
