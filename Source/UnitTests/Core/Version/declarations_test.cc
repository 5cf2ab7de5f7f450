#include "Version/declarations.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "Version/configuration_check.h"

namespace camphorferry::version {
namespace {

class DeclarationsTest : public testing::Test {
 protected:
  static std::string Fleet() {
    return R"([domain.east]
region = "ub"
rate_slots = 8
[service.ledger]
slots = 2
connections = 16
[[service.ledger.endpoint]]
id = "l1"
address = "127.0.0.1:5001"
domain = "east"
[[service.ledger.endpoint]]
id = "l2"
address = "127.0.0.1:5002"
domain = "east"
[[service.ledger.endpoint]]
id = "l3"
address = "127.0.0.1:5003"
domain = "east"
)";
  }

  static std::string Clients() {
    return R"([workspace.trust]
rate = 100
burst = 20
[route.circles]
service = "ledger"
workspaces = ["trust"]
[key.office]
workspace = "trust"
digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)";
  }

  /// "FILE:LINE KEY KIND" for each fault of the two files.
  static std::vector<std::string> FaultsOf(const std::string& fleet,
                                           const std::string& clients) {
    std::vector<std::string> texts;
    try {
      ParseDeclarations({{"fleet", fleet}, {"clients", clients}});
    } catch (const DeclarationsError& error) {
      for (const common::Fault& fault : error.Faults()) {
        texts.push_back(fault.file + ":" + std::to_string(fault.line) + " " +
                        fault.key + " " + std::string(ToString(fault.kind)));
      }
    }
    return texts;
  }

  static std::string Replace(std::string text, const std::string& from,
                             const std::string& to) {
    const std::size_t place = text.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return text.replace(place, from.size(), to);
  }

  static std::vector<std::string> AfterFleet(const std::string& from,
                                             const std::string& to) {
    return FaultsOf(Replace(Fleet(), from, to), Clients());
  }

  static std::vector<std::string> AfterClients(const std::string& from,
                                               const std::string& to) {
    return FaultsOf(Fleet(), Replace(Clients(), from, to));
  }

  using Lines = std::vector<std::string>;
};

// Guards against declarations that are read into the wrong object.
TEST_F(DeclarationsTest, ValidFiles_Parse_HaveEveryObject) {
  const Configuration read =
      ParseDeclarations({{"fleet", Fleet()}, {"clients", Clients()}});
  Configuration expected;
  expected.domains[common::FailureDomainId("east")] =
      FailureDomain{common::RegionId("ub"), 8};
  Service& service = expected.services[common::ServiceId("ledger")];
  service.slots = 2;
  service.connections = 16;
  for (const std::string number : {"1", "2", "3"}) {
    service.endpoints.push_back(Endpoint{common::EndpointId("l" + number),
                                         "127.0.0.1:500" + number,
                                         common::FailureDomainId("east")});
  }
  const common::WorkspaceId trust("trust");
  expected.workspaces[trust] = Workspace{100, 20, 1};
  expected.routes[common::RouteId("circles")] =
      Route{common::ServiceId("ledger"), false, {trust}};
  expected.keys[common::KeyId("office")] =
      Key{trust,
          "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"};
  EXPECT_EQ(read, expected);
}

// Guards against a plan made from declarations that cannot work.
TEST_F(DeclarationsTest, FaultInOneFile_Parse_NamesItsPlace) {
  EXPECT_EQ(AfterFleet("region = \"ub\"", "regio = \"ub\""),
            (Lines{"fleet:1 domain.east.region missing_key",
                   "fleet:2 domain.east.regio unknown_key"}));
  EXPECT_EQ(AfterFleet("rate_slots = 8", "rate_slots = 10001"),
            (Lines{"fleet:3 domain.east.rate_slots not_allowed"}));
  EXPECT_EQ(AfterFleet("connections = 16", "connections = 7"),
            (Lines{"fleet:6 service.ledger.connections not_allowed"}));
  EXPECT_EQ(AfterFleet("\"l2\"", "\"l1\""),
            (Lines{"fleet:12 service.ledger.endpoint[1].id duplicate"}));
  EXPECT_EQ(AfterFleet("5002", "5001"),
            (Lines{"fleet:13 service.ledger.endpoint[1].address duplicate"}));
  EXPECT_EQ(
      AfterFleet("domain = \"east\"", "domain = \"west\""),
      (Lines{"fleet:10 service.ledger.endpoint[0].domain unknown_reference"}));
  EXPECT_EQ(AfterFleet("127.0.0.1:5003", "db:5003"),
            (Lines{"fleet:17 service.ledger.endpoint[2].address not_allowed"}));
  EXPECT_EQ(AfterClients("rate = 100", "rate = 0"),
            (Lines{"clients:2 workspace.trust.rate not_allowed"}));
  EXPECT_EQ(AfterClients("burst = 20", "burst = 20\nweight = 1001"),
            (Lines{"clients:4 workspace.trust.weight not_allowed"}));
  EXPECT_EQ(AfterClients("\"ledger\"", "\"legder\""),
            (Lines{"clients:5 route.circles.service unknown_reference"}));
  EXPECT_EQ(AfterClients("[\"trust\"]", "[]"),
            (Lines{"clients:6 route.circles.workspaces missing_key"}));
  EXPECT_EQ(AfterClients("[\"trust\"]", "[\"trust\"]\nopen = true"),
            (Lines{"clients:6 route.circles.workspaces contradiction"}));
  EXPECT_EQ(AfterClients("workspace = \"trust\"", "workspace = \"tru\""),
            (Lines{"clients:8 key.office.workspace unknown_reference"}));
  EXPECT_EQ(AfterClients("0123456789abcdef\"", "\""),
            (Lines{"clients:9 key.office.digest not_allowed"}));
  EXPECT_EQ(AfterClients("[key.office]", "[kee.office]"),
            (Lines{"clients:7 kee unknown_key"}));
}

// Guards against two endpoints, with which fences have no majority of three.
TEST_F(DeclarationsTest, ServiceOfTwoEndpoints_Parse_IsRefused) {
  const std::string fleet = Fleet();
  const std::size_t last = fleet.rfind("[[service");
  EXPECT_EQ(FaultsOf(fleet.substr(0, last), Clients()),
            (Lines{"fleet:7 service.ledger.endpoint not_allowed"}));
}

// Guards against a second file that silently replaces an object of the first.
TEST_F(DeclarationsTest, SameObjectInTwoFiles_Parse_NamesBothPlaces) {
  const std::string again =
      Clients() + "[domain.east]\nregion = \"x\"\n" + "rate_slots = 1\n";
  EXPECT_EQ(FaultsOf(Fleet(), again),
            (Lines{"clients:10 domain.east duplicate"}));
}

// Guards against an operator who repairs one fault for each attempt.
TEST_F(DeclarationsTest, FaultsInSeveralFiles_Parse_ReportsAll) {
  const std::string fleet = Replace(Fleet(), "slots = 2", "slots = 0");
  const std::string clients = Replace(Clients(), "rate = 100", "rate = \"x\"");
  EXPECT_EQ(FaultsOf(fleet, clients),
            (Lines{"clients:2 workspace.trust.rate wrong_type",
                   "fleet:5 service.ledger.slots not_allowed"}));
}

// Guards against a file that cannot be parsed and turns each reference to it
// into a fault of another file.
TEST_F(DeclarationsTest, OneFileUnparsable_Parse_ReportsOnlyThat) {
  EXPECT_EQ(FaultsOf("[domain", Clients()), (Lines{"fleet:1  syntax"}));
}

// Guards against declaration files that are missed or unread.
TEST_F(DeclarationsTest, Directory_Read_TakesItsTomlFilesOnly) {
  const std::filesystem::path directory =
      std::filesystem::path(testing::TempDir()) /
      ("camphorferry_declarations." + std::to_string(getpid()));
  std::filesystem::remove_all(directory);
  std::filesystem::create_directory(directory);
  EXPECT_THROW(ReadDeclarations({directory}), DeclarationsError);
  std::ofstream(directory / "a.toml") << Fleet();
  std::ofstream(directory / "b.toml") << Clients();
  std::ofstream(directory / "notes.txt") << "[[[";
  EXPECT_EQ(ReadDeclarations({directory}),
            ParseDeclarations({{"a", Fleet()}, {"b", Clients()}}));
  EXPECT_THROW(ReadDeclarations({directory, directory / "absent.toml"}),
               DeclarationsError);
  std::filesystem::remove_all(directory);
}

// Guards against a document that the store refuses after the confirmation.
TEST_F(DeclarationsTest, DocumentAboveStoreLimit_Check_IsRefused) {
  Configuration configuration;
  for (int i = 0; i < 20'000; ++i) {
    configuration.domains[common::FailureDomainId(std::to_string(i))] =
        FailureDomain{common::RegionId(std::string(60, 'r')), 1};
  }
  const auto issues = CheckConfiguration(configuration);
  ASSERT_EQ(issues.size(), 1U);
  EXPECT_EQ(issues[0].object, "");
}

}  // namespace
}  // namespace camphorferry::version
