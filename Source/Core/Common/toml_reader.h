#ifndef CAMPHORFERRY_COMMON_TOML_READER_H_
#define CAMPHORFERRY_COMMON_TOML_READER_H_

#include <toml++/toml.h>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/fault_list.h"

namespace camphorferry::common {

/// Validation rule for a string entry.
struct TextRule {
  bool (*accepts)(std::string_view text);
  /// Description of the accepted texts, for faults.
  std::string_view allowed;
  /// If true, the value never appears in a fault.
  bool secret = false;
};

/// Validation rule for an integer entry; both limits are inclusive.
struct IntegerRule {
  std::int64_t smallest;
  std::int64_t largest;
};

/// Reads the entries of one TOML table and adds a fault for each entry that
/// violates its rule. An invalid entry is returned as an empty value, so that
/// the caller can continue and find the remaining faults. The values must not
/// be used if there are any faults.
class TomlTable {
 public:
  /// The path is the dotted name of the table, empty for the root of a file.
  /// The table and the fault list must outlive this object.
  TomlTable(const toml::table* table, std::string file, std::string path,
            FaultList* faults);

  /// True if the table has an entry with this key.
  bool Has(std::string_view key) const;

  /// Reads an entry. It is required if no fallback is given.
  std::string Text(std::string_view key, const TextRule& rule,
                   std::optional<std::string_view> fallback = std::nullopt);
  std::int64_t Integer(std::string_view key, const IntegerRule& rule,
                       std::optional<std::int64_t> fallback = std::nullopt);
  bool Boolean(std::string_view key, std::optional<bool> fallback);
  /// Reads a list of strings. A required list must be present and not empty.
  std::vector<std::string> Texts(std::string_view key, const TextRule& rule,
                                 bool required);

  /// Reads a table; none if it is absent.
  std::optional<TomlTable> Table(std::string_view key);
  /// Reads a list of tables; empty if it is absent.
  std::vector<TomlTable> Tables(std::string_view key);
  /// Reads the tables inside a table, such as [workspace.NAME], with their
  /// names.
  std::vector<std::pair<std::string, TomlTable>> NamedTables(
      std::string_view key);

  /// Adds a fault for each entry that none of the other methods has read.
  void ReportUnknownKeys();

  /// Adds a fault for an entry. Its line is that of the table if the entry is
  /// absent.
  void Report(FaultKind kind, std::string_view key, std::string found,
              std::string allowed);

  const std::string& File() const { return this->file; }
  const std::string& Path() const { return this->path; }
  /// Line of an entry, or of the table if the entry is absent.
  std::uint32_t LineOf(std::string_view key) const;

 private:
  const toml::node* Find(std::string_view key);
  const toml::node* FindRequired(std::string_view key, bool has_fallback,
                                 std::string_view allowed);
  void ReportType(std::string_view key, const toml::node& node,
                  std::string_view allowed);
  std::string PathOf(std::string_view key) const;

  const toml::table* table;
  std::string file;
  std::string path;
  FaultList* faults;
  /// Keys that were read, whether present or not.
  std::set<std::string, std::less<>> requested_keys;
};

/// Reads a whole file; adds a fault if it cannot be read.
std::optional<std::string> ReadFile(const std::filesystem::path& file,
                                    FaultList* faults);

/// Parses TOML; adds a fault if the syntax is invalid. The fault quotes nothing
/// from the text, which may contain secrets.
std::optional<toml::table> ParseToml(const std::string& text,
                                     const std::string& file,
                                     FaultList* faults);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_TOML_READER_H_
