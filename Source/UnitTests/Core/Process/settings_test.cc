#include "Process/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace camphorferry::process {
namespace {

using common::Fault;
using common::FaultKind;

constexpr std::string_view kSecret = "0123456789abcdef0123456789abcdef";

/// Replaces the first occurrence of `from`, which must be in the text.
std::string Replace(std::string text, const std::string& from,
                    const std::string& to) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

class SettingsTest : public testing::Test {
 protected:
  static std::string ValidSettings() {
    return R"([host]
id = "ub-east-1"
domain = "ub-east"
[listen]
clients = "127.0.0.1:7001"
operators = "127.0.0.1:7101"
peers = "127.0.0.1:7201"
[store]
address = "127.0.0.1:7000"
[peers]
hosts = [{ id = "ub-west-1", domain = "ub-west", address = "127.0.0.1:7202" }]
[session]
secrets = ["0123456789abcdef0123456789abcdef"]
)";
  }

  static common::FaultList FaultsOf(const std::string& text) {
    try {
      ParseSettings(text, "daemon.toml");
    } catch (const SettingsError& error) {
      return error.Faults();
    }
    return {};
  }

  /// Returns "LINE KEY KIND" of the only fault after one replacement.
  static std::string FaultAfterReplacement(const std::string& from,
                                           const std::string& to) {
    const common::FaultList faults =
        FaultsOf(Replace(ValidSettings(), from, to));
    if (faults.size() != 1) {
      return std::to_string(faults.size()) + " faults";
    }
    return std::to_string(faults[0].line) + " " + faults[0].key + " " +
           std::string(ToString(faults[0].kind));
  }
};

// Guards against settings that are read into the wrong field or get a wrong
// default.
TEST_F(SettingsTest, ValidFile_Parse_HasValuesAndDefaults) {
  const Settings settings = ParseSettings(ValidSettings(), "daemon.toml");
  Settings expected;
  expected.host = common::HostId("ub-east-1");
  expected.domain = common::FailureDomainId("ub-east");
  expected.clients = {"127.0.0.1", 7001};
  expected.operators = {"127.0.0.1", 7101};
  expected.peers = {"127.0.0.1", 7201};
  expected.store = {"127.0.0.1", 7000};
  expected.peer_hosts = {{common::HostId("ub-west-1"),
                          common::FailureDomainId("ub-west"),
                          {"127.0.0.1", 7202}}};
  expected.session_secrets = {std::string(kSecret)};
  expected.log_level = common::LogLevel::kInfo;
  expected.shutdown_notice = std::chrono::seconds(1);
  EXPECT_EQ(settings, expected);
}

// Guards against a daemon that starts with a misspelled or invalid setting.
TEST_F(SettingsTest, OneFault_Parse_NamesLineKeyAndKind) {
  EXPECT_EQ(FaultAfterReplacement("id =", "ide = 1\nid ="),
            "2 host.ide unknown_key");
  EXPECT_EQ(FaultAfterReplacement("[store]", "[stor]\n[store]"),
            "8 stor unknown_key");
  EXPECT_EQ(FaultAfterReplacement("id = \"ub-east-1\"\n", ""),
            "1 host.id missing_key");
  EXPECT_EQ(FaultAfterReplacement("\"ub-east-1\"", "7"),
            "2 host.id wrong_type");
  EXPECT_EQ(FaultAfterReplacement("\"ub-east-1\"", "\"ub east\""),
            "2 host.id not_allowed");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7000", "127.0.0.1:0"),
            "9 store.address not_allowed");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7000", "localhost:7000"),
            "9 store.address not_allowed");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7101", "127.0.0.1:7001"),
            "6 listen.operators contradiction");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7101", "0.0.0.0:7001"),
            "6 listen.operators contradiction");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7000", "127.0.0.1:7001"),
            "9 store.address contradiction");
  EXPECT_EQ(FaultAfterReplacement("id = \"ub-west-1\"", "id = \"ub-east-1\""),
            "11 peers.hosts[0].id contradiction");
  EXPECT_EQ(FaultAfterReplacement("127.0.0.1:7202", "127.0.0.1:7201"),
            "11 peers.hosts[0].address contradiction");
  EXPECT_EQ(FaultAfterReplacement("[session]", "tls = \"on\"\n[session]"),
            "12 peers.tls not_allowed");
  EXPECT_EQ(
      FaultAfterReplacement("[\"0123456789abcdef0123456789abcdef\"]", "[]"),
      "13 session.secrets missing_key");
  EXPECT_EQ(FaultAfterReplacement("[session]",
                                  "[shutdown]\nnotice_ms = 6000\n[session]"),
            "13 shutdown.notice_ms not_allowed");
  EXPECT_EQ(
      FaultAfterReplacement("[session]", "[log]\nlevel = \"loud\"\n[session]"),
      "13 log.level not_allowed");
  EXPECT_EQ(FaultAfterReplacement("[host]", "[host"), "1  syntax");
}

// Guards against duplicate peers, which a daemon would connect to twice.
TEST_F(SettingsTest, PeerListedTwice_Parse_ReportsIdAndAddress) {
  const std::string peer =
      R"({ id = "ub-west-1", domain = "ub-west", address = "127.0.0.1:7202" })";
  const common::FaultList faults =
      FaultsOf(Replace(ValidSettings(), peer, peer + ", " + peer));
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].kind, FaultKind::kDuplicate);
  EXPECT_EQ(faults[0].key, "peers.hosts[1].id");
  EXPECT_EQ(faults[1].key, "peers.hosts[1].address");
}

// Guards against rejecting several listeners on ports chosen by the system as
// equal addresses.
TEST_F(SettingsTest, PortsChosenBySystem_Parse_IsAccepted) {
  std::string text = Replace(ValidSettings(), "127.0.0.1:7001", "127.0.0.1:0");
  text = Replace(text, "127.0.0.1:7101", "127.0.0.1:0");
  EXPECT_EQ(ParseSettings(text, "daemon.toml").operators.port, 0);
}

// Guards against a missing file or a directory that is read as an empty file.
TEST_F(SettingsTest, UnreadableFile_Read_NamesFileAndReason) {
  for (const std::string path : {"/nonexistent/daemon.toml", "/"}) {
    try {
      ReadSettings(path);
      ADD_FAILURE() << path;
    } catch (const SettingsError& error) {
      ASSERT_EQ(error.Faults().size(), 1U);
      EXPECT_EQ(error.Faults()[0].kind, FaultKind::kUnreadableFile);
      EXPECT_EQ(error.Faults()[0].file, path);
      EXPECT_FALSE(error.Faults()[0].found.empty());
    }
  }
}

// Guards against reporting only one fault at a time.
RC_GTEST_PROP(SettingsPropertyTest, AnyFaultyLines_Parse_ReportsEveryOne, ()) {
  const std::vector<std::string> lines{
      "[host]",      "id = 7",        "domain = 7",      "[listen]",
      "clients = 7", "operators = 7", "peers = 7",       "[store]",
      "address = 7", "[session]",     "secrets = 7",     "[log]",
      "level = 7",   "[shutdown]",    "notice_ms = 'x'",
  };
  const auto kept = *rc::gen::container<std::vector<bool>>(
      lines.size(), rc::gen::arbitrary<bool>());
  std::string text;
  std::size_t expected_faults = 0;
  for (std::size_t i = 0; i < lines.size(); ++i) {
    const bool section = lines[i].starts_with('[');
    if (!section && !kept[i]) continue;
    text += lines[i] + "\n";
    expected_faults += section ? 0 : 1;
  }
  try {
    ParseSettings(text, "f");
    RC_FAIL("accepted");
  } catch (const SettingsError& error) {
    const auto found = std::count_if(
        error.Faults().begin(), error.Faults().end(),
        [](const Fault& fault) { return fault.kind == FaultKind::kWrongType; });
    RC_ASSERT(static_cast<std::size_t>(found) == expected_faults);
  }
}

// Guards against secrets in messages and logs, wherever they are mistyped.
TEST_F(SettingsTest, FaultNearSecret_Parse_NeverShowsIt) {
  const std::string secret(kSecret);
  const std::string line = "secrets = [\"" + secret + "\"]";
  const std::string half = secret.substr(0, 8);
  const std::vector<std::string> faulty_texts{
      "secrets = [\"" + secret.substr(1) + "\"]",
      "secrets = \"" + secret + "\"",
      "secret = [\"" + secret + "\"]",
      "secrets = [\"" + secret + "\", \"" + secret + "\"]",
      "secrets = [" + secret + "]",
      "secrets = [\"" + secret + "]",
      "secrets = [\"" + secret + "\"\n" + secret,
      "secrets = [\"" + secret + "\"]\nsecrets = [\"" + secret + "\"]",
      "secrets = [1" + secret.substr(0, 10) + "1" + secret.substr(0, 10) + "]",
      "secrets = [false" + secret + "]",
      "secrets = [inf" + secret + "]",
      secret,
  };
  for (const std::string& replacement : faulty_texts) {
    try {
      ParseSettings(Replace(ValidSettings(), line, replacement), "daemon.toml");
      ADD_FAILURE() << "accepted: " << replacement;
    } catch (const SettingsError& error) {
      const std::string message = error.what();
      EXPECT_EQ(message.find(half), std::string::npos) << message;
      EXPECT_EQ(message.find(secret.substr(1, 8)), std::string::npos)
          << message;
    }
  }
}

}  // namespace
}  // namespace camphorferry::process
