#include "Version/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "configuration_generator.h"

namespace camphorferry::version {
namespace {

/// Applies changes to a configuration.
class ChangeApplier {
 public:
  explicit ChangeApplier(Configuration* target) : target(target) {}

  template <typename Id, typename Value>
  void operator()(const Added<Id, Value>& change) const {
    RC_ASSERT(this->MapOf(change.id).emplace(change.id, change.value).second);
  }
  template <typename Id, typename Value>
  void operator()(const Changed<Id, Value>& change) const {
    Value& value = this->MapOf(change.id).at(change.id);
    RC_ASSERT(value == change.old_value);
    RC_ASSERT(!(change.new_value == change.old_value));
    value = change.new_value;
  }
  template <typename Id, typename Value>
  void operator()(const Removed<Id, Value>& change) const {
    RC_ASSERT(this->MapOf(change.id).at(change.id) == change.old_value);
    this->MapOf(change.id).erase(change.id);
  }

 private:
  auto& MapOf(const common::WorkspaceId& /*id*/) const {
    return this->target->workspaces;
  }
  auto& MapOf(const common::ServiceId& /*id*/) const {
    return this->target->services;
  }
  auto& MapOf(const common::RouteId& /*id*/) const {
    return this->target->routes;
  }
  auto& MapOf(const common::KeyId& /*id*/) const { return this->target->keys; }
  auto& MapOf(const common::FailureDomainId& /*id*/) const {
    return this->target->domains;
  }

  Configuration* target;
};

class PlanTest : public testing::Test {
 protected:
  void SetUp() override {
    this->current.version = 4;
    this->current.workspaces[this->workspace] = Workspace{100, 20, 1};
    this->current.services[this->service] =
        Service{{Endpoint{common::EndpointId("l1"), "127.0.0.1:1",
                          common::FailureDomainId("east")}},
                2,
                16};
    this->current.routes[this->route] =
        Route{this->service, false, {this->workspace}};
    this->current.keys[this->key] =
        Key{this->workspace, common::Sha256Hex("k")};
    this->declared = this->current;
  }

  std::vector<PlanWarning> Warnings() const {
    return MakePlan(this->current, this->declared).warnings;
  }

  using Expected = std::vector<PlanWarning>;

  const common::WorkspaceId workspace{"trust"};
  const common::ServiceId service{"ledger"};
  const common::RouteId route{"circles"};
  const common::KeyId key{"office"};
  Configuration current;
  Configuration declared;
};

// Guards against changes that a plan applies but does not show.
RC_GTEST_PROP(PlanPropertyTest, AnyDeclarations_MakePlan_ShowsEveryChange, ()) {
  const Configuration current = *GenConfiguration();
  const Configuration declared = *GenConfiguration();
  Configuration result = current;
  const Plan plan = MakePlan(current, declared);
  for (const Change& change : plan.changes) {
    std::visit(ChangeApplier(&result), change);
  }
  RC_ASSERT(DeclarationsToJson(result) == DeclarationsToJson(declared));
  RC_ASSERT(PlanToJson(plan).at("changes").size() == plan.changes.size());
  RC_ASSERT(MakePlan(declared, declared).changes.empty());
}

// Guards against a digest that also confirms another base version or content.
RC_GTEST_PROP(PlanPropertyTest, OtherBaseOrContent_MakePlan_HasOtherDigest,
              ()) {
  const Configuration current = *GenConfiguration();
  const Configuration declared = *GenConfiguration();
  const std::string digest = MakePlan(current, declared).digest;
  Configuration later = current;
  later.version += 1;
  Configuration other = declared;
  other.workspaces[common::WorkspaceId("other")] = Workspace{};
  RC_ASSERT(MakePlan(later, declared).digest != digest);
  RC_ASSERT(MakePlan(current, other).digest != digest);
  other = declared;
  other.version += 1;
  other.applied_plans.push_back(digest);
  RC_ASSERT(MakePlan(current, other).digest == digest);
}

// Guards against a change that may affect clients and is shown without warning.
TEST_F(PlanTest, DangerousChange_MakePlan_Warns) {
  EXPECT_EQ(this->Warnings(), Expected{});
  this->declared.workspaces[this->workspace].rate = 50;
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kRateLowered, "workspace trust"}}));
  this->declared = this->current;
  this->declared.services.clear();
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kServiceRemoved, "service ledger"}}));
  this->declared = this->current;
  this->declared.keys.clear();
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kKeyWithdrawn, "key office"}}));
  this->declared = this->current;
  this->declared.services[this->service].endpoints[0].address = "127.0.0.1:2";
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kEndpointRemoved, "service ledger"}}));
  this->declared = this->current;
  this->declared.routes[this->route] = Route{this->service, true, {}};
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kRouteOpened, "route circles"}}));
  this->declared.routes[this->route] =
      Route{this->service, false, {common::WorkspaceId("other")}};
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kRouteNarrowed, "route circles"}}));
}

// Guards against adding a domain without a warning that its rate slots reduce
// the rates of the other domains.
TEST_F(PlanTest, DomainAdded_MakePlan_WarnsUnlessItIsTheFirst) {
  const FailureDomain domain{common::RegionId("ub"), 8};
  this->declared.domains[common::FailureDomainId("east")] = domain;
  EXPECT_EQ(this->Warnings(), Expected{});
  this->current = this->declared;
  this->declared.domains[common::FailureDomainId("west")] = domain;
  EXPECT_EQ(this->Warnings(),
            (Expected{{WarningKind::kRateSlotsChanged, "domain west"}}));
}

// Guards against warnings for harmless changes, which would train operators to
// ignore warnings.
TEST_F(PlanTest, HarmlessChange_MakePlan_DoesNotWarn) {
  this->declared.workspaces[this->workspace].rate = 200;
  this->declared.workspaces[common::WorkspaceId("new")] = Workspace{1, 1, 1};
  this->declared.services[this->service].slots = 4;
  this->declared.routes[this->route].workspaces.insert(
      common::WorkspaceId("new"));
  EXPECT_EQ(this->Warnings(), Expected{});
}

// Guards against a text that does not show all changes, warnings and the
// digest.
TEST_F(PlanTest, Changes_PlanToText_ShowsOldAndNew) {
  this->declared.workspaces[this->workspace].rate = 50;
  this->declared.keys.clear();
  this->declared.domains[common::FailureDomainId("east")] =
      FailureDomain{common::RegionId("ub"), 8};
  const Plan plan = MakePlan(this->current, this->declared);
  EXPECT_EQ(PlanToText(plan),
            "Plan against version 4, 3 changes\n"
            "~ workspace trust\n"
            "    rate: 100 -> 50\n"
            "- key office\n"
            "+ domain east\n"
            "    region: ub\n"
            "    rate_slots: 8\n"
            "! rate_lowered: workspace trust\n"
            "! key_withdrawn: key office\n"
            "Digest " +
                plan.digest + "\n");
}

}  // namespace
}  // namespace camphorferry::version
