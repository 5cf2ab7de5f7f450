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
  static std::string FleetFile() {
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

  static std::string ClientsFile() {
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
    const std::size_t offset = text.find(from);
    EXPECT_NE(offset, std::string::npos) << from;
    return text.replace(offset, from.size(), to);
  }

  static std::vector<std::string> FaultsAfterFleetEdit(const std::string& from,
                                                       const std::string& to) {
    return FaultsOf(Replace(FleetFile(), from, to), ClientsFile());
  }

  static std::vector<std::string> FaultsAfterClientsEdit(
      const std::string& from, const std::string& to) {
    return FaultsOf(FleetFile(), Replace(ClientsFile(), from, to));
  }

  using Lines = std::vector<std::string>;
};

// Guards against declarations that are read into the wrong object.
TEST_F(DeclarationsTest, ValidFiles_Parse_HaveEveryObject) {
  const Configuration read =
      ParseDeclarations({{"fleet", FleetFile()}, {"clients", ClientsFile()}});
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

// Guards against invalid declarations that are accepted, and against faults
// that are reported at the wrong file, line or key.
TEST_F(DeclarationsTest, FaultInOneFile_Parse_ReportsItsLocation) {
  EXPECT_EQ(FaultsAfterFleetEdit("region = \"ub\"", "regio = \"ub\""),
            (Lines{"fleet:1 domain.east.region missing_key",
                   "fleet:2 domain.east.regio unknown_key"}));
  EXPECT_EQ(FaultsAfterFleetEdit("rate_slots = 8", "rate_slots = 10001"),
            (Lines{"fleet:3 domain.east.rate_slots not_allowed"}));
  EXPECT_EQ(FaultsAfterFleetEdit("connections = 16", "connections = 7"),
            (Lines{"fleet:6 service.ledger.connections not_allowed"}));
  EXPECT_EQ(FaultsAfterFleetEdit("\"l2\"", "\"l1\""),
            (Lines{"fleet:12 service.ledger.endpoint[1].id duplicate"}));
  EXPECT_EQ(FaultsAfterFleetEdit("5002", "5001"),
            (Lines{"fleet:13 service.ledger.endpoint[1].address duplicate"}));
  EXPECT_EQ(
      FaultsAfterFleetEdit("domain = \"east\"", "domain = \"west\""),
      (Lines{"fleet:10 service.ledger.endpoint[0].domain unknown_reference"}));
  EXPECT_EQ(FaultsAfterFleetEdit("127.0.0.1:5003", "db:5003"),
            (Lines{"fleet:17 service.ledger.endpoint[2].address not_allowed"}));
  EXPECT_EQ(FaultsAfterClientsEdit("rate = 100", "rate = 0"),
            (Lines{"clients:2 workspace.trust.rate not_allowed"}));
  EXPECT_EQ(FaultsAfterClientsEdit("burst = 20", "burst = 20\nweight = 1001"),
            (Lines{"clients:4 workspace.trust.weight not_allowed"}));
  EXPECT_EQ(FaultsAfterClientsEdit("\"ledger\"", "\"legder\""),
            (Lines{"clients:5 route.circles.service unknown_reference"}));
  EXPECT_EQ(FaultsAfterClientsEdit("[\"trust\"]", "[]"),
            (Lines{"clients:6 route.circles.workspaces missing_key"}));
  EXPECT_EQ(FaultsAfterClientsEdit("[\"trust\"]", "[\"trust\"]\nopen = true"),
            (Lines{"clients:6 route.circles.workspaces contradiction"}));
  EXPECT_EQ(
      FaultsAfterClientsEdit("workspace = \"trust\"", "workspace = \"tru\""),
      (Lines{"clients:8 key.office.workspace unknown_reference"}));
  EXPECT_EQ(FaultsAfterClientsEdit("0123456789abcdef\"", "\""),
            (Lines{"clients:9 key.office.digest not_allowed"}));
  EXPECT_EQ(FaultsAfterClientsEdit("[key.office]", "[kee.office]"),
            (Lines{"clients:7 kee unknown_key"}));
}

// Guards against a service with two endpoints, for which the majorities that
// fencing needs do not exist.
TEST_F(DeclarationsTest, ServiceOfTwoEndpoints_Parse_IsRefused) {
  const std::string fleet = FleetFile();
  const std::size_t last = fleet.rfind("[[service");
  EXPECT_EQ(FaultsOf(fleet.substr(0, last), ClientsFile()),
            (Lines{"fleet:7 service.ledger.endpoint not_allowed"}));
}

// Guards against a second file that replaces an object of the first.
TEST_F(DeclarationsTest, SameObjectInTwoFiles_Parse_ReportsDuplicate) {
  const std::string again =
      ClientsFile() + "[domain.east]\nregion = \"x\"\n" + "rate_slots = 1\n";
  EXPECT_EQ(FaultsOf(FleetFile(), again),
            (Lines{"clients:10 domain.east duplicate"}));
}

// Guards against reporting only the first fault, so that operators need one
// attempt for each fault.
TEST_F(DeclarationsTest, FaultsInSeveralFiles_Parse_ReportsAll) {
  const std::string fleet = Replace(FleetFile(), "slots = 2", "slots = 0");
  const std::string clients =
      Replace(ClientsFile(), "rate = 100", "rate = \"x\"");
  EXPECT_EQ(FaultsOf(fleet, clients),
            (Lines{"clients:2 workspace.trust.rate wrong_type",
                   "fleet:5 service.ledger.slots not_allowed"}));
}

// Guards against reporting every reference to an object in a file that cannot
// be parsed as a fault of another file.
TEST_F(DeclarationsTest, OneUnparsableFile_Parse_ReportsOnlyItsSyntaxError) {
  EXPECT_EQ(FaultsOf("[domain", ClientsFile()), (Lines{"fleet:1  syntax"}));
}

// Guards against declaration files of a directory that are ignored, and against
// reading its other files.
TEST_F(DeclarationsTest, Directory_Read_ReadsOnlyTomlFiles) {
  const std::filesystem::path directory =
      std::filesystem::path(testing::TempDir()) /
      ("camphorferry_declarations." + std::to_string(getpid()));
  std::filesystem::remove_all(directory);
  std::filesystem::create_directory(directory);
  EXPECT_THROW(ReadDeclarations({directory}), DeclarationsError);
  std::ofstream(directory / "a.toml") << FleetFile();
  std::ofstream(directory / "b.toml") << ClientsFile();
  std::ofstream(directory / "notes.txt") << "[[[";
  EXPECT_EQ(ReadDeclarations({directory}),
            ParseDeclarations({{"a", FleetFile()}, {"b", ClientsFile()}}));
  EXPECT_THROW(ReadDeclarations({directory, directory / "absent.toml"}),
               DeclarationsError);
  std::filesystem::remove_all(directory);
}

// Guards against accepting a document that is too large for the store.
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
