#include "Version/apply.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Version/configuration_json.h"

namespace camphorferry::version {
namespace {

/// Declarations that differ by one number.
Configuration DeclareRate(std::uint32_t rate) {
  Configuration declared;
  declared.workspaces[common::WorkspaceId("w")] = Workspace{rate, 1, 1};
  return declared;
}

/// The store's side: decides and writes.
class Store {
 public:
  ApplyDecision Confirm(const Configuration& declared,
                        const std::string& digest) {
    ApplyDecision decision = DecideApply(this->current, declared, digest);
    if (const auto* write = std::get_if<WriteConfiguration>(&decision)) {
      this->current = write->next;
    }
    return decision;
  }

  std::string PlanFor(const Configuration& declared) const {
    return MakePlan(this->current, declared).digest;
  }

  Configuration current;
};

class ApplyTest : public testing::Test {
 protected:
  Store store;
};

// Guards against two operators whose plans are both applied, the second one
// undoing the first without having seen it.
TEST_F(ApplyTest, TwoOperatorsConfirm_Second_IsStale) {
  const std::string first = this->store.PlanFor(DeclareRate(1));
  const std::string second = this->store.PlanFor(DeclareRate(2));
  this->store.Confirm(DeclareRate(1), first);
  const ApplyDecision decision = this->store.Confirm(DeclareRate(2), second);
  const auto* stale = std::get_if<StalePlan>(&decision);
  ASSERT_NE(stale, nullptr);
  const auto* moved = std::get_if<BaseVersionMoved>(&stale->reason);
  ASSERT_NE(moved, nullptr);
  EXPECT_EQ(moved->planned_against, 0U);
  EXPECT_EQ(stale->current_version, 1U);
}

// Guards against a repeated confirmation, after a lost answer, that is applied
// twice or reported as refused, also after another operator's later plan.
TEST_F(ApplyTest, LostAnswer_ConfirmAgain_IsAlreadyApplied) {
  const std::string digest = this->store.PlanFor(DeclareRate(1));
  this->store.Confirm(DeclareRate(1), digest);
  const std::string later = this->store.PlanFor(DeclareRate(2));
  this->store.Confirm(DeclareRate(2), later);
  const Configuration before = this->store.current;
  const ApplyDecision decision = this->store.Confirm(DeclareRate(1), digest);
  const auto* applied = std::get_if<AlreadyApplied>(&decision);
  ASSERT_NE(applied, nullptr);
  EXPECT_EQ(applied->version, 1U);
  EXPECT_EQ(this->store.current, before);
}

// Guards against "already applied" for files that were edited since.
TEST_F(ApplyTest, AppliedDigestWithOtherFiles_Confirm_IsStale) {
  const std::string digest = this->store.PlanFor(DeclareRate(1));
  this->store.Confirm(DeclareRate(1), digest);
  const ApplyDecision decision = this->store.Confirm(DeclareRate(2), digest);
  const auto* stale = std::get_if<StalePlan>(&decision);
  ASSERT_NE(stale, nullptr);
  EXPECT_TRUE(std::holds_alternative<DeclarationsDiffer>(stale->reason));
}

// Guards against versions that are used up by plans without changes.
TEST_F(ApplyTest, PlanWithoutChanges_Confirm_WritesNothing) {
  this->store.Confirm(DeclareRate(1), this->store.PlanFor(DeclareRate(1)));
  const ApplyDecision decision =
      this->store.Confirm(DeclareRate(1), this->store.PlanFor(DeclareRate(1)));
  EXPECT_TRUE(std::holds_alternative<AlreadyApplied>(decision));
  EXPECT_EQ(this->store.current.version, 1U);
}

// Guards against a list of applied plans that grows without bound or drops the
// newest.
TEST_F(ApplyTest, ManyPlans_Confirm_KeepsTheNewest) {
  std::vector<std::string> digests;
  for (std::uint32_t rate = 1; rate <= 70; ++rate) {
    digests.push_back(this->store.PlanFor(DeclareRate(rate)));
    this->store.Confirm(DeclareRate(rate), digests.back());
  }
  const std::vector<std::string> newest(digests.end() - 64, digests.end());
  EXPECT_EQ(this->store.current.applied_plans, newest);
  const ApplyDecision oldest_kept =
      this->store.Confirm(DeclareRate(7), digests[6]);
  EXPECT_TRUE(std::holds_alternative<AlreadyApplied>(oldest_kept));
  const ApplyDecision dropped = this->store.Confirm(DeclareRate(6), digests[5]);
  EXPECT_TRUE(std::holds_alternative<StalePlan>(dropped));
}

// Guards against any mix of racing, repeated and outdated confirmations that
// applies a plan to another base than it was made against, or twice.
RC_GTEST_PROP(ApplyPropertyTest, RacingOperators_Confirm_EachPlanAtMostOnce,
              (const std::vector<std::pair<bool, std::uint8_t>>& steps)) {
  struct Planned {
    Configuration declared;
    std::string digest;
    ConfigurationVersion base;
  };
  Store store;
  std::vector<Planned> plans;
  std::map<std::string, ConfigurationVersion> produced;
  for (const auto& [make_plan, choice] : steps) {
    if (make_plan || plans.empty()) {
      const Configuration declared = DeclareRate(choice % 4);
      plans.push_back(
          Planned{declared, store.PlanFor(declared), store.current.version});
      continue;
    }
    const Planned& plan = plans[choice % plans.size()];
    const Configuration before = store.current;
    const ApplyDecision decision = store.Confirm(plan.declared, plan.digest);
    if (std::holds_alternative<WriteConfiguration>(decision)) {
      RC_ASSERT(before.version == plan.base);
      RC_ASSERT(store.current.version == plan.base + 1);
      RC_ASSERT(DeclarationsToJson(store.current) ==
                DeclarationsToJson(plan.declared));
      RC_ASSERT(produced.emplace(plan.digest, plan.base + 1).second);
      continue;
    }
    RC_ASSERT(store.current == before);
    if (const auto* applied = std::get_if<AlreadyApplied>(&decision)) {
      const auto found = produced.find(plan.digest);
      const bool unchanged =
          DeclarationsToJson(before) == DeclarationsToJson(plan.declared);
      if (found == produced.end()) {
        RC_ASSERT(unchanged);
      } else {
        RC_ASSERT(applied->version == found->second);
      }
      continue;
    }
    RC_ASSERT(before.version != plan.base);
    RC_ASSERT(!produced.contains(plan.digest) || produced.size() > 64);
  }
}

}  // namespace
}  // namespace camphorferry::version
