#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "configuration_generator.h"

namespace camphorferry::version {
namespace {

using nlohmann::json;

class ConfigurationJsonTest : public testing::Test {
 protected:
  static json Document() {
    return json::parse(R"({
      "version": 3, "applied_plans": [],
      "workspaces": {"w": {"rate": 10, "burst": 5, "weight": 1}},
      "services": {"s": {"slots": 2, "connections": 16, "endpoints": [
        {"id": "e", "address": "127.0.0.1:5000", "domain": "d"}]}},
      "routes": {"r": {"service": "s", "open": false, "workspaces": ["w"]}},
      "keys": {}, "domains": {"d": {"region": "g", "rate_slots": 8}}})");
  }

  static std::string FaultOf(const std::string& pointer, const json& value) {
    json document = Document();
    document[json::json_pointer(pointer)] = value;
    return FaultOfText(document.dump());
  }

  static std::string FaultOfText(const std::string& text) {
    try {
      ParseConfiguration(text);
    } catch (const BadConfigurationError& error) {
      return std::string(ToString(error.Fault())) + " " + error.Path();
    }
    return "accepted";
  }
};

// Guards against a configuration that changes when it is written to the store
// or sent to a peer, so that daemons differ in the content of one version.
RC_GTEST_PROP(ConfigurationJsonPropertyTest, AnyConfiguration_RoundTrip_IsEqual,
              ()) {
  const Configuration configuration = *GenConfiguration();
  const std::string text = ConfigurationToJson(configuration).dump();
  RC_ASSERT(ParseConfiguration(text) == configuration);
}

// Guards against declarations that contain a version or applied plans.
RC_GTEST_PROP(ConfigurationJsonPropertyTest,
              AnyConfiguration_DeclarationsRoundTrip_DropsOnlyTheVersion, ()) {
  Configuration configuration = *GenConfiguration();
  const Configuration read =
      DeclarationsFromJson(DeclarationsToJson(configuration));
  configuration.version = 0;
  configuration.applied_plans.clear();
  RC_ASSERT(read == configuration);
}

// Guards against an invalid document that is accepted in part.
TEST_F(ConfigurationJsonTest, FaultyDocument_Parse_ReportsFaultAndPath) {
  EXPECT_EQ(FaultOfText(Document().dump()), "accepted");
  EXPECT_EQ(FaultOfText("{"), "not_json ");
  EXPECT_EQ(FaultOfText("[]"), "wrong_type ");
  EXPECT_EQ(FaultOf("/extra", 1), "unknown_field extra");
  EXPECT_EQ(FaultOf("/version", -1), "out_of_range version");
  EXPECT_EQ(FaultOf("/version", 1.5), "wrong_type version");
  EXPECT_EQ(FaultOf("/workspaces/w/rate", 4294967296),
            "out_of_range workspaces/w/rate");
  EXPECT_EQ(FaultOf("/workspaces/w", json::object()),
            "missing_field workspaces/w/rate");
  EXPECT_EQ(FaultOf("/workspaces", json{{"a b", json::object()}}),
            "bad_name workspaces/a b");
  EXPECT_EQ(FaultOf("/services/s/endpoints/0/address", "localhost:1"),
            "bad_address services/s/endpoints/0/address");
  EXPECT_EQ(FaultOf("/routes/r/workspaces", json{"w", "w"}),
            "duplicate routes/r/workspaces");
  EXPECT_EQ(FaultOf("/keys/k", json{{"workspace", "w"}, {"digest", "AB"}}),
            "bad_digest keys/k/digest");
  EXPECT_EQ(FaultOf("/applied_plans", json{"x"}), "bad_digest applied_plans");
}

}  // namespace
}  // namespace camphorferry::version
