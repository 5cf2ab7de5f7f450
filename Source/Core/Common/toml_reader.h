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

/// What a text entry accepts.
struct TextRule {
  bool (*accepts)(std::string_view text);
  std::string_view allowed;
  /// A secret's value never appears in a fault.
  bool secret = false;
};

/// What an integer entry accepts.
struct IntegerRule {
  std::int64_t smallest;
  std::int64_t largest;
};

/// Reads the entries of one TOML table and adds a fault for each entry that is
/// not as the rules say. A faulty entry reads as an empty value; the caller
/// goes on and finds the other faults, and must not use the result if there are
/// any.
class TomlTable {
 public:
  /// The path is the table's dotted name; empty for a file's root. Table and
  /// fault list must outlive the reader.
  TomlTable(const toml::table* table, std::string file, std::string path,
            FaultList* faults);

  bool Has(std::string_view key) const;

  /// An entry without a fallback is required.
  std::string Text(std::string_view key, const TextRule& rule,
                   std::optional<std::string_view> fallback = std::nullopt);
  std::int64_t Integer(std::string_view key, const IntegerRule& rule,
                       std::optional<std::int64_t> fallback = std::nullopt);
  bool Boolean(std::string_view key, std::optional<bool> fallback);
  /// A list of texts. If it is required, it must be there and not be empty.
  std::vector<std::string> Texts(std::string_view key, const TextRule& rule,
                                 bool required);

  /// A table that may be absent.
  std::optional<TomlTable> Table(std::string_view key);
  /// A list of tables; an absent one is empty.
  std::vector<TomlTable> Tables(std::string_view key);
  /// The tables of a table, such as each [workspace.NAME], with their names.
  std::vector<std::pair<std::string, TomlTable>> NamedTables(
      std::string_view key);

  /// Adds a fault for each entry that was never asked for.
  void ReportUnknownKeys();

  /// Adds a fault at an entry, or at the table if the entry is absent.
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
  std::set<std::string, std::less<>> known;
};

/// Reads a whole file; adds a fault if it cannot be read.
std::optional<std::string> ReadFile(const std::filesystem::path& file,
                                    FaultList* faults);

/// Parses TOML; adds a fault if the syntax is wrong. The fault quotes nothing
/// from the text, which may hold secrets.
std::optional<toml::table> ParseToml(const std::string& text,
                                     const std::string& file,
                                     FaultList* faults);

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_TOML_READER_H_
