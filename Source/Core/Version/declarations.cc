#include "Version/declarations.h"

#include <algorithm>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

#include "Common/toml_reader.h"
#include "Version/configuration_check.h"

namespace camphorferry::version {

namespace {

using common::Fault;
using common::FaultKind;
using common::FaultList;
using common::IntegerRule;
using common::TextRule;
using common::TomlTable;

constexpr TextRule kName{common::IsValidName, common::kNameRule};
constexpr TextRule kAddress{common::IsIpAndPort, common::kIpAndPortRule};
constexpr TextRule kDigest{common::IsSha256Hex, common::kSha256HexRule};
// The allowed ranges are checked by CheckConfiguration, which daemons call as
// well.
constexpr IntegerRule kUnsigned{0, std::numeric_limits<std::uint32_t>::max()};
constexpr std::uint32_t kDefaultWeight = 1;

std::uint32_t ReadUnsigned(TomlTable* table, std::string_view key,
                           std::optional<std::int64_t> fallback = {}) {
  return static_cast<std::uint32_t>(table->Integer(key, kUnsigned, fallback));
}

/// Merges all files into one configuration and records where each object was
/// declared, so that faults found afterwards are reported with file and line.
class DeclarationReader {
 public:
  explicit DeclarationReader(FaultList* faults) : faults(faults) {}

  void ReadFile(const DeclarationText& source) {
    std::optional<toml::table> parsed =
        common::ParseToml(source.text, source.file, this->faults);
    if (!parsed.has_value()) return;
    this->roots.push_back(*std::move(parsed));
    TomlTable root(&this->roots.back(), source.file, "", this->faults);
    this->ReadObjects(&root, "workspace", &this->configuration.workspaces,
                      &DeclarationReader::ReadWorkspace);
    this->ReadObjects(&root, "service", &this->configuration.services,
                      &DeclarationReader::ReadService);
    this->ReadObjects(&root, "route", &this->configuration.routes,
                      &DeclarationReader::ReadRoute);
    this->ReadObjects(&root, "key", &this->configuration.keys,
                      &DeclarationReader::ReadKey);
    this->ReadObjects(&root, "domain", &this->configuration.domains,
                      &DeclarationReader::ReadDomain);
    root.ReportUnknownKeys();
  }

  /// Checks the merged configuration and reports its faults.
  void CheckMerged() {
    const std::set<std::string> faulty_keys = this->FaultyKeys();
    for (const ConfigurationIssue& issue :
         CheckConfiguration(this->configuration)) {
      // A faulty entry was read as an empty value, which must not be reported
      // as a second fault.
      if (faulty_keys.contains(ToFault(issue).key)) continue;
      const auto declaring_table = this->declaring_tables.find(issue.object);
      if (declaring_table == this->declaring_tables.end()) {
        this->faults->push_back(ToFault(issue));
      } else {
        declaring_table->second.Report(issue.kind, issue.field, issue.found,
                                       issue.allowed);
      }
    }
  }

  const Configuration& Result() const { return this->configuration; }

 private:
  template <typename Id, typename Value>
  void ReadObjects(TomlTable* root, std::string_view kind,
                   std::map<Id, Value>* values,
                   Value (DeclarationReader::*read)(TomlTable*)) {
    for (auto& [name, table] : root->NamedTables(kind)) {
      if (!common::IsValidName(name)) {
        table.Report(FaultKind::kNotAllowed, "", "'" + name + "'",
                     std::string(common::kNameRule));
      }
      Value value = (this->*read)(&table);
      table.ReportUnknownKeys();
      if (!values->emplace(Id(name), std::move(value)).second) {
        this->ReportDuplicate(&table);
        continue;
      }
      this->declaring_tables.emplace(table.Path(), table);
    }
  }

  void ReportDuplicate(TomlTable* table) {
    const TomlTable& first = this->declaring_tables.at(table->Path());
    table->Report(FaultKind::kDuplicate, "", "a second declaration",
                  "one declaration, the first is at " + first.File() + ":" +
                      std::to_string(first.LineOf("")));
  }

  Workspace ReadWorkspace(TomlTable* table) {
    return Workspace{ReadUnsigned(table, "rate"), ReadUnsigned(table, "burst"),
                     ReadUnsigned(table, "weight", kDefaultWeight)};
  }

  Service ReadService(TomlTable* table) {
    Service service;
    service.slots = ReadUnsigned(table, "slots");
    service.connections = ReadUnsigned(table, "connections");
    for (TomlTable& entry : table->Tables("endpoint")) {
      service.endpoints.push_back(
          Endpoint{common::EndpointId(entry.Text("id", kName)),
                   entry.Text("address", kAddress),
                   common::FailureDomainId(entry.Text("domain", kName))});
      entry.ReportUnknownKeys();
      this->declaring_tables.emplace(entry.Path(), entry);
    }
    return service;
  }

  Route ReadRoute(TomlTable* table) {
    Route route;
    route.service = common::ServiceId(table->Text("service", kName));
    route.open = table->Boolean("open", /*fallback=*/false);
    for (const std::string& name :
         table->Texts("workspaces", kName, /*required=*/false)) {
      if (route.workspaces.insert(common::WorkspaceId(name)).second) continue;
      table->Report(FaultKind::kDuplicate, "workspaces", name,
                    "each workspace once");
    }
    return route;
  }

  Key ReadKey(TomlTable* table) {
    return Key{common::WorkspaceId(table->Text("workspace", kName)),
               table->Text("digest", kDigest)};
  }

  FailureDomain ReadDomain(TomlTable* table) {
    return FailureDomain{common::RegionId(table->Text("region", kName)),
                         ReadUnsigned(table, "rate_slots")};
  }

  std::set<std::string> FaultyKeys() const {
    std::set<std::string> keys;
    for (const Fault& fault : *this->faults) keys.insert(fault.key);
    return keys;
  }

  FaultList* faults;
  /// The TomlTable objects refer to these. A list does not move its elements.
  std::list<toml::table> roots;
  /// Table in which each object is declared, by the path of the object.
  std::map<std::string, TomlTable> declaring_tables;
  Configuration configuration;
};

/// The file itself, or the declaration files of a directory sorted by name.
std::vector<std::filesystem::path> FilesOf(const std::filesystem::path& source,
                                           FaultList* faults) {
  std::error_code error;
  if (!std::filesystem::is_directory(source, error)) return {source};
  std::vector<std::filesystem::path> files;
  const std::filesystem::directory_iterator entries(source, error);
  if (error) {
    faults->push_back(Fault{FaultKind::kUnreadableFile, source.string(), 0, "",
                            error.message(), "a readable directory"});
    return {};
  }
  for (const std::filesystem::directory_entry& entry : entries) {
    if (entry.path().extension() == ".toml") files.push_back(entry.path());
  }
  if (files.empty()) {
    faults->push_back(Fault{FaultKind::kUnreadableFile, source.string(), 0, "",
                            "no *.toml file", "a directory with *.toml files"});
  }
  std::sort(files.begin(), files.end());
  return files;
}

Configuration ParseWith(FaultList faults,
                        const std::vector<DeclarationText>& texts) {
  DeclarationReader reader(&faults);
  for (const DeclarationText& text : texts) reader.ReadFile(text);
  const auto is_unread_file = [](const Fault& fault) {
    return fault.kind == FaultKind::kUnreadableFile ||
           fault.kind == FaultKind::kSyntax;
  };
  // Without the content of an unreadable file, every reference to its objects
  // would be reported as a fault.
  if (!std::any_of(faults.begin(), faults.end(), is_unread_file)) {
    reader.CheckMerged();
  }
  if (!faults.empty()) throw DeclarationsError(std::move(faults));
  return reader.Result();
}

}  // namespace

Configuration ReadDeclarations(
    const std::vector<std::filesystem::path>& sources) {
  FaultList faults;
  std::vector<DeclarationText> texts;
  for (const std::filesystem::path& source : sources) {
    for (const std::filesystem::path& file : FilesOf(source, &faults)) {
      std::optional<std::string> text = common::ReadFile(file, &faults);
      if (!text.has_value()) continue;
      texts.push_back(DeclarationText{file.string(), *std::move(text)});
    }
  }
  return ParseWith(std::move(faults), texts);
}

Configuration ParseDeclarations(const std::vector<DeclarationText>& texts) {
  return ParseWith({}, texts);
}

}  // namespace camphorferry::version
