#include "Common/toml_reader.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <system_error>

namespace camphorferry::common {

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;

constexpr std::string_view kString = "a string";
constexpr std::string_view kInteger = "an integer";
constexpr std::string_view kBoolean = "true or false";
constexpr std::string_view kTable = "a table";
constexpr std::string_view kListOfStrings = "a list of strings";
constexpr std::string_view kListOfTables = "a list of tables";

std::string_view TypeName(const toml::node& node) {
  switch (node.type()) {
    case toml::node_type::string:
      return kString;
    case toml::node_type::integer:
      return kInteger;
    case toml::node_type::floating_point:
      return "a floating-point number";
    case toml::node_type::boolean:
      return "a boolean";
    case toml::node_type::table:
      return kTable;
    case toml::node_type::array:
      return "a list";
    default:
      return "a date or time";
  }
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

std::string DescribeFound(std::string_view text, const TextRule& rule) {
  if (!rule.secret) return Quoted(text);
  return "a secret of " + std::to_string(text.size()) + " characters";
}

/// Replaces the text between single quotes, which may be a secret.
std::string RedactQuoted(std::string_view description) {
  std::string text;
  bool quoted = false;
  for (const char character : description) {
    if (character == '\'') {
      text += quoted ? "...'" : "'";
      quoted = !quoted;
    } else if (!quoted) {
      text.push_back(character);
    }
  }
  return text;
}

}  // namespace

TomlTable::TomlTable(const toml::table* table, std::string file,
                     std::string path, FaultList* faults)
    : table(table),
      file(std::move(file)),
      path(std::move(path)),
      faults(faults) {}

bool TomlTable::Has(std::string_view key) const {
  return this->table->contains(key);
}

std::string TomlTable::Text(std::string_view key, const TextRule& rule,
                            std::optional<std::string_view> fallback) {
  const toml::node* node =
      this->FindRequired(key, fallback.has_value(), rule.allowed);
  if (node == nullptr) return std::string(fallback.value_or(""));
  const auto* text = node->as_string();
  if (text == nullptr) {
    this->ReportType(key, *node, kString);
    return "";
  }
  if (!rule.accepts(text->get())) {
    this->Report(FaultKind::kNotAllowed, key, DescribeFound(text->get(), rule),
                 std::string(rule.allowed));
    return "";
  }
  return text->get();
}

std::int64_t TomlTable::Integer(std::string_view key, const IntegerRule& rule,
                                std::optional<std::int64_t> fallback) {
  const std::string allowed =
      std::to_string(rule.smallest) + " to " + std::to_string(rule.largest);
  const toml::node* node =
      this->FindRequired(key, fallback.has_value(), allowed);
  if (node == nullptr) return fallback.value_or(0);
  const auto* number = node->as_integer();
  if (number == nullptr) {
    this->ReportType(key, *node, kInteger);
    return 0;
  }
  if (number->get() < rule.smallest || number->get() > rule.largest) {
    this->Report(FaultKind::kNotAllowed, key, std::to_string(number->get()),
                 allowed);
    return 0;
  }
  return number->get();
}

bool TomlTable::Boolean(std::string_view key, std::optional<bool> fallback) {
  const toml::node* node =
      this->FindRequired(key, fallback.has_value(), kBoolean);
  if (node == nullptr) return fallback.value_or(false);
  const auto* boolean = node->as_boolean();
  if (boolean == nullptr) {
    this->ReportType(key, *node, kBoolean);
    return false;
  }
  return boolean->get();
}

std::vector<std::string> TomlTable::Texts(std::string_view key,
                                          const TextRule& rule, bool required) {
  std::vector<std::string> texts;
  const toml::node* node = this->FindRequired(key, !required, kListOfStrings);
  if (node == nullptr) return texts;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    this->ReportType(key, *node, kListOfStrings);
    return texts;
  }
  if (required && list->empty()) {
    this->Report(FaultKind::kMissingKey, key, "an empty list",
                 std::string(kListOfStrings));
  }
  for (const toml::node& entry : *list) {
    const auto* text = entry.as_string();
    if (text == nullptr) {
      this->ReportType(key, entry, kListOfStrings);
    } else if (!rule.accepts(text->get())) {
      this->Report(FaultKind::kNotAllowed, key,
                   DescribeFound(text->get(), rule), std::string(rule.allowed));
    } else {
      texts.push_back(text->get());
    }
  }
  return texts;
}

std::optional<TomlTable> TomlTable::Table(std::string_view key) {
  const toml::node* node = this->Find(key);
  if (node == nullptr) return std::nullopt;
  const toml::table* inner = node->as_table();
  if (inner == nullptr) {
    this->ReportType(key, *node, kTable);
    return std::nullopt;
  }
  return TomlTable(inner, this->file, this->PathOf(key), this->faults);
}

std::vector<TomlTable> TomlTable::Tables(std::string_view key) {
  std::vector<TomlTable> tables;
  const toml::node* node = this->Find(key);
  if (node == nullptr) return tables;
  const toml::array* list = node->as_array();
  if (list == nullptr) {
    this->ReportType(key, *node, kListOfTables);
    return tables;
  }
  std::size_t index = 0;
  for (const toml::node& entry : *list) {
    const toml::table* inner = entry.as_table();
    const std::string element_path =
        this->PathOf(key) + "[" + std::to_string(index) + "]";
    ++index;
    if (inner == nullptr) {
      this->ReportType(key, entry, kListOfTables);
    } else {
      tables.emplace_back(inner, this->file, element_path, this->faults);
    }
  }
  return tables;
}

std::vector<std::pair<std::string, TomlTable>> TomlTable::NamedTables(
    std::string_view key) {
  std::vector<std::pair<std::string, TomlTable>> tables;
  std::optional<TomlTable> parent = this->Table(key);
  if (!parent.has_value()) return tables;
  for (const auto& [name, node] : *parent->table) {
    std::optional<TomlTable> inner = parent->Table(name.str());
    if (inner.has_value()) tables.emplace_back(name.str(), *std::move(inner));
  }
  return tables;
}

void TomlTable::ReportUnknownKeys() {
  std::string allowed;
  for (const std::string& name : this->requested_keys) {
    allowed += (allowed.empty() ? "" : ", ") + name;
  }
  for (const auto& [name, node] : *this->table) {
    if (this->requested_keys.contains(name.str())) continue;
    // Reports the type instead of the value, which may be a secret under a
    // misspelled key.
    this->Report(FaultKind::kUnknownKey, name.str(),
                 std::string(TypeName(node)), allowed);
  }
}

void TomlTable::Report(FaultKind kind, std::string_view key, std::string found,
                       std::string allowed) {
  this->faults->push_back(Fault{kind, this->file, this->LineOf(key),
                                this->PathOf(key), std::move(found),
                                std::move(allowed)});
}

std::uint32_t TomlTable::LineOf(std::string_view key) const {
  const toml::node* node = this->table->get(key);
  if (node == nullptr) return this->table->source().begin.line;
  return node->source().begin.line;
}

const toml::node* TomlTable::Find(std::string_view key) {
  this->requested_keys.emplace(key);
  return this->table->get(key);
}

const toml::node* TomlTable::FindRequired(std::string_view key,
                                          bool has_fallback,
                                          std::string_view allowed) {
  const toml::node* node = this->Find(key);
  if (node == nullptr && !has_fallback) {
    this->Report(FaultKind::kMissingKey, key, "nothing", std::string(allowed));
  }
  return node;
}

void TomlTable::ReportType(std::string_view key, const toml::node& node,
                           std::string_view allowed) {
  this->Report(FaultKind::kWrongType, key, std::string(TypeName(node)),
               std::string(allowed));
}

std::string TomlTable::PathOf(std::string_view key) const {
  if (this->path.empty()) return std::string(key);
  if (key.empty()) return this->path;
  return this->path + "." + std::string(key);
}

std::optional<std::string> ReadFile(const std::filesystem::path& file,
                                    FaultList* faults) {
  std::ifstream stream(file, std::ios::binary);
  std::string content;
  std::array<char, kReadBufferBytes> buffer{};
  while (stream.good()) {
    stream.read(buffer.data(), buffer.size());
    content.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
  }
  // Opening a directory succeeds; reading from it fails.
  if (!stream.is_open() || stream.bad()) {
    const std::error_code reason(errno, std::generic_category());
    faults->push_back(Fault{FaultKind::kUnreadableFile, file.string(), 0, "",
                            reason.message(), "a readable file"});
    return std::nullopt;
  }
  return content;
}

std::optional<toml::table> ParseToml(const std::string& text,
                                     const std::string& file,
                                     FaultList* faults) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    faults->push_back(Fault{FaultKind::kSyntax, file, error.source().begin.line,
                            "", RedactQuoted(error.description()),
                            "valid TOML"});
    return std::nullopt;
  }
}

}  // namespace camphorferry::common
