#include "Process/settings.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "Common/toml_reader.h"

namespace camphorferry::process {

namespace {

using common::FaultKind;
using common::FaultList;
using common::IntegerRule;
using common::TextRule;
using common::TomlTable;
using connection::SocketAddress;

constexpr std::string_view kWildcardIp = "0.0.0.0";
// As long as the output of the 256-bit HMAC that the secrets key.
constexpr std::size_t kMinSecretLength = 32;

bool IsDialableAddress(std::string_view text) {
  return common::IsIpAndPort(text) &&
         connection::ParseSocketAddress(std::string(text)).port != 0;
}

bool IsSecret(std::string_view text) { return text.size() >= kMinSecretLength; }

bool IsTlsMode(std::string_view text) { return text == "off"; }

std::optional<common::LogLevel> LogLevelOf(std::string_view text) {
  if (text == "debug") return common::LogLevel::kDebug;
  if (text == "info") return common::LogLevel::kInfo;
  if (text == "warning") return common::LogLevel::kWarning;
  if (text == "error") return common::LogLevel::kError;
  return std::nullopt;
}

bool IsLogLevel(std::string_view text) { return LogLevelOf(text).has_value(); }

constexpr TextRule kName{common::IsValidName, common::kNameRule};
constexpr TextRule kListenAddress{common::IsIpAndPort, common::kIpAndPortRule};
constexpr TextRule kDialableAddress{
    IsDialableAddress,
    "IP:PORT with a numeric IPv4 address and a port above 0"};
constexpr TextRule kSecret{IsSecret, "at least 32 characters",
                           /*secret=*/true};

/// Definition of one setting: section, key, accepted values and, unless it is
/// required, its default value.
template <typename Rule, typename Value>
struct Setting {
  std::string_view section;
  std::string_view key;
  Rule rule;
  std::optional<Value> default_value;
};
using TextSetting = Setting<TextRule, std::string_view>;
using IntegerSetting = Setting<IntegerRule, std::int64_t>;

// All settings of a daemon except the list [peers] hosts, whose entries have
// their own fields.
constexpr TextSetting kHostId{"host", "id", kName, {}};
constexpr TextSetting kHostDomain{"host", "domain", kName, {}};
constexpr TextSetting kClients{"listen", "clients", kListenAddress, {}};
constexpr TextSetting kOperators{"listen", "operators", kListenAddress, {}};
constexpr TextSetting kPeers{"listen", "peers", kListenAddress, {}};
constexpr TextSetting kStore{"store", "address", kDialableAddress, {}};
constexpr TextSetting kPeersTls{"peers", "tls", {IsTlsMode, "'off'"}, "off"};
constexpr TextSetting kSecrets{"session", "secrets", kSecret, {}};
constexpr TextSetting kLogLevel{
    "log",
    "level",
    {IsLogLevel, "'debug', 'info', 'warning' or 'error'"},
    "info"};
// A shutdown takes at most 30 s and a request at most 25 s; the notice gets the
// remaining 5 s.
constexpr IntegerSetting kNoticeMs{"shutdown", "notice_ms", {0, 5000}, 1000};

constexpr std::string_view kPeerHosts = "hosts";

/// Reads the sections of one file. An absent section is read as an empty one,
/// so that each of its required settings is reported as missing.
class SectionReader {
 public:
  SectionReader(const toml::table* root, const std::string& file,
                FaultList* faults)
      : root(root, file, "", faults), file(file), faults(faults) {}

  TomlTable& Section(std::string_view name) {
    const auto found = this->sections.find(name);
    if (found != this->sections.end()) return found->second;
    std::optional<TomlTable> section = this->root.Table(name);
    if (!section.has_value()) {
      section.emplace(&this->empty, this->file, std::string(name),
                      this->faults);
    }
    return this->sections.emplace(name, *std::move(section)).first->second;
  }

  std::string Text(const TextSetting& setting) {
    return this->Section(setting.section)
        .Text(setting.key, setting.rule, setting.default_value);
  }

  /// Returns an empty address if the setting is invalid.
  SocketAddress Address(const TextSetting& setting) {
    const std::string text = this->Text(setting);
    if (text.empty()) return {};
    return connection::ParseSocketAddress(text);
  }

  std::int64_t Integer(const IntegerSetting& setting) {
    return this->Section(setting.section)
        .Integer(setting.key, setting.rule, setting.default_value);
  }

  template <typename Rule, typename Value>
  void Report(const Setting<Rule, Value>& setting, FaultKind kind,
              std::string found, std::string allowed) {
    this->Section(setting.section)
        .Report(kind, setting.key, std::move(found), std::move(allowed));
  }

  void ReportUnknownKeys() {
    for (auto& [name, section] : this->sections) section.ReportUnknownKeys();
    this->root.ReportUnknownKeys();
  }

 private:
  const toml::table empty;
  TomlTable root;
  std::string file;
  FaultList* faults;
  std::map<std::string, TomlTable, std::less<>> sections;
};

/// True if two sockets cannot listen on these addresses at the same time.
bool Overlap(const SocketAddress& left, const SocketAddress& right) {
  if (left.port == 0 || left.port != right.port) return false;
  return left.ip == right.ip || left.ip == kWildcardIp ||
         right.ip == kWildcardIp;
}

/// Reads the peers and checks them for conflicts with each other and with this
/// host.
std::vector<PeerSetting> ReadPeers(SectionReader* reader,
                                   const Settings& settings) {
  std::vector<PeerSetting> peers;
  std::set<common::HostId> ids;
  std::set<SocketAddress> addresses;
  for (TomlTable& entry : reader->Section("peers").Tables(kPeerHosts)) {
    PeerSetting peer;
    peer.id = common::HostId(entry.Text("id", kName));
    peer.domain = common::FailureDomainId(entry.Text("domain", kName));
    const std::string address = entry.Text("address", kDialableAddress);
    entry.ReportUnknownKeys();
    if (!peer.id.Empty() && peer.id == settings.host) {
      entry.Report(FaultKind::kContradiction, "id", peer.id.Value(),
                   "other hosts than this one");
    } else if (!peer.id.Empty() && !ids.insert(peer.id).second) {
      entry.Report(FaultKind::kDuplicate, "id", peer.id.Value(),
                   "each host once");
    }
    if (!address.empty()) {
      peer.address = connection::ParseSocketAddress(address);
      if (peer.address == settings.peers) {
        entry.Report(FaultKind::kContradiction, "address", address,
                     "another address than listen.peers");
      } else if (!addresses.insert(peer.address).second) {
        entry.Report(FaultKind::kDuplicate, "address", address,
                     "each address once");
      }
    }
    peers.push_back(std::move(peer));
  }
  return peers;
}

std::vector<std::string> ReadSecrets(SectionReader* reader) {
  std::vector<std::string> secrets =
      reader->Section(kSecrets.section)
          .Texts(kSecrets.key, kSecrets.rule, /*required=*/true);
  const std::set<std::string> distinct(secrets.begin(), secrets.end());
  if (distinct.size() < secrets.size()) {
    reader->Report(kSecrets, FaultKind::kDuplicate, "a repeated secret",
                   "each secret once");
  }
  return secrets;
}

void CheckListenAddresses(SectionReader* reader, const Settings& settings) {
  const std::vector<std::pair<const TextSetting*, SocketAddress>> listeners{
      {&kClients, settings.clients},
      {&kOperators, settings.operators},
      {&kPeers, settings.peers}};
  for (std::size_t later = 1; later < listeners.size(); ++later) {
    const auto& [setting, address] = listeners[later];
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (!Overlap(address, listeners[earlier].second)) continue;
      reader->Report(*setting, FaultKind::kContradiction,
                     connection::ToString(address),
                     "another address than listen." +
                         std::string(listeners[earlier].first->key));
    }
  }
  for (const auto& [setting, address] : listeners) {
    if (address.port == 0 || address != settings.store) continue;
    reader->Report(kStore, FaultKind::kContradiction,
                   connection::ToString(address),
                   "another address than listen." + std::string(setting->key));
  }
}

Settings ReadAll(SectionReader* reader) {
  Settings settings;
  settings.host = common::HostId(reader->Text(kHostId));
  settings.domain = common::FailureDomainId(reader->Text(kHostDomain));
  settings.clients = reader->Address(kClients);
  settings.operators = reader->Address(kOperators);
  settings.peers = reader->Address(kPeers);
  settings.store = reader->Address(kStore);
  reader->Text(kPeersTls);
  settings.peer_tls = PeerTls::kOff;
  settings.peer_hosts = ReadPeers(reader, settings);
  settings.session_secrets = ReadSecrets(reader);
  settings.log_level =
      LogLevelOf(reader->Text(kLogLevel)).value_or(common::LogLevel::kInfo);
  settings.shutdown_notice =
      std::chrono::milliseconds(reader->Integer(kNoticeMs));
  return settings;
}

}  // namespace

Settings ReadSettings(const std::filesystem::path& file) {
  FaultList faults;
  const std::optional<std::string> text = common::ReadFile(file, &faults);
  if (!text.has_value()) throw SettingsError(std::move(faults));
  return ParseSettings(*text, file.string());
}

Settings ParseSettings(const std::string& text, const std::string& file) {
  FaultList faults;
  const std::optional<toml::table> root =
      common::ParseToml(text, file, &faults);
  if (!root.has_value()) throw SettingsError(std::move(faults));
  SectionReader reader(&*root, file, &faults);
  Settings settings = ReadAll(&reader);
  CheckListenAddresses(&reader, settings);
  reader.ReportUnknownKeys();
  if (!faults.empty()) throw SettingsError(std::move(faults));
  return settings;
}

}  // namespace camphorferry::process
