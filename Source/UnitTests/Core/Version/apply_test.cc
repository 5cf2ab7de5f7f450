#include "Version/apply.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "Version/configuration_json.h"

namespace camphorferry::version {
namespace {

/// Declarations that differ only in a rate.
Configuration DeclareRate(std::uint32_t rate) {
  Configuration declared;
  declared.workspaces[common::WorkspaceId("w")] = Workspace{rate, 1, 1};
  return declared;
}

/// Store that decides about confirmations and writes the result.
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

// Guards against applying the plans of two operators one after the other, where
// the second plan reverts the first without having shown it.
TEST_F(ApplyTest, TwoOperatorsConfirm_Second_IsStale) {
  const std::string first = this->store.PlanFor(DeclareRate(1));
  const std::string second = this->store.PlanFor(DeclareRate(2));
  this->store.Confirm(DeclareRate(1), first);
  const ApplyDecision decision = this->store.Confirm(DeclareRate(2), second);
  const auto* stale = std::get_if<StalePlan>(&decision);
  ASSERT_NE(stale, nullptr);
  const auto* outdated = std::get_if<BaseVersionOutdated>(&stale->reason);
  ASSERT_NE(outdated, nullptr);
  EXPECT_EQ(outdated->base_version, 0U);
  EXPECT_EQ(stale->current_version, 1U);
}

// Guards against a confirmation that is repeated after a lost answer and then
// applied twice or refused, even if another plan was applied in between.
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

// Guards against reporting files as already applied that were edited after the
// plan was applied.
TEST_F(ApplyTest, AppliedDigestWithOtherFiles_Confirm_IsStale) {
  const std::string digest = this->store.PlanFor(DeclareRate(1));
  this->store.Confirm(DeclareRate(1), digest);
  const ApplyDecision decision = this->store.Confirm(DeclareRate(2), digest);
  const auto* stale = std::get_if<StalePlan>(&decision);
  ASSERT_NE(stale, nullptr);
  EXPECT_TRUE(std::holds_alternative<DeclarationsDiffer>(stale->reason));
}

// Guards against plans without changes that create a new version.
TEST_F(ApplyTest, PlanWithoutChanges_Confirm_WritesNothing) {
  this->store.Confirm(DeclareRate(1), this->store.PlanFor(DeclareRate(1)));
  const ApplyDecision decision =
      this->store.Confirm(DeclareRate(1), this->store.PlanFor(DeclareRate(1)));
  EXPECT_TRUE(std::holds_alternative<AlreadyApplied>(decision));
  EXPECT_EQ(this->store.current.version, 1U);
}

// Guards against a list of applied plans that grows without limit or loses its
// newest entries.
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

// Guards against applying a plan twice or to another version than it was made
// against, under concurrent, repeated and outdated confirmations.
RC_GTEST_PROP(ApplyPropertyTest, ConcurrentOperators_Confirm_EachPlanAtMostOnce,
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
