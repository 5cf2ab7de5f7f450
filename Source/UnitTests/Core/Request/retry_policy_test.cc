#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <limits>
#include <utility>
#include <variant>
#include <vector>

#include "Request/request.h"

namespace camphorferry::request {
namespace {

using common::Duration;
using common::SteadyTime;
using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kStart{seconds(1000)};
const SteadyTime kDeadline = kStart + seconds(5);

const std::vector<RequestClass> kAllClasses = {
    RequestClass::kRead, RequestClass::kKeyedWrite,
    RequestClass::kRepeatableWrite, RequestClass::kUnrepeatableWrite};

/// What happens to one attempt in the model.
enum class Fate {
  kAnswered,
  kAnswerLost,
  kNeverArrives,
  kArrivesLate,
  kQueueFull,
  kStaleTerm,
  kConflict,
  kMismatch,
};

/// An endpoint that counts effects. A conflict is a state that other clients
/// create and remove; a mismatch stays, since the key's record does.
class EndpointModel {
 public:
  explicit EndpointModel(RequestClass request_class)
      : keyed(request_class == RequestClass::kKeyedWrite) {}

  Outcome Attempt(Fate fate) {
    switch (fate) {
      case Fate::kAnswered:
        return this->Run();
      case Fate::kAnswerLost:
        this->Run();
        return Unknown{UnknownReason::kNoAnswer};
      case Fate::kNeverArrives:
        return Unknown{UnknownReason::kConnectionLost};
      case Fate::kArrivesLate:
        ++this->on_their_way;
        return Unknown{UnknownReason::kConnectionLost};
      case Fate::kQueueFull:
        return NotRun{NotRunReason::kQueueFull, {}};
      case Fate::kStaleTerm:
        return NotRun{NotRunReason::kStaleTerm, {}};
      case Fate::kConflict:
        if (this->keyed && this->effects > 0) return this->Run();
        return NotRun{NotRunReason::kConflict, {}};
      case Fate::kMismatch:
        if (!this->keyed || this->effects > 0) return this->Run();
        this->key_taken = true;
        return this->Run();
    }
    return this->Run();
  }

  /// Effects once every late attempt has arrived.
  int FinalEffects() {
    for (; this->on_their_way > 0; --this->on_their_way) this->Run();
    return this->effects;
  }

 private:
  Outcome Run() {
    if (this->key_taken) return NotRun{NotRunReason::kIdempotencyMismatch, {}};
    const bool replayed = this->keyed && this->effects > 0;
    if (!replayed) ++this->effects;
    return Done{};
  }

  bool keyed;
  bool key_taken = false;
  int effects = 0;
  int on_their_way = 0;
};

// Guards against payouts that run twice and against refusals that say "not
// run" although the request had or still gets its effect.
RC_GTEST_PROP(RetryPolicyProperty, AnyFaults_Report_MatchesTheEffects, ()) {
  const auto request_class = *rc::gen::elementOf(kAllClasses);
  const auto fates = *rc::gen::container<std::vector<Fate>>(
      rc::gen::map(rc::gen::inRange(0, 8),
                   [](int value) { return static_cast<Fate>(value); }));
  RetryBudget budget(kStart);
  RetryPolicy policy(request_class, kDeadline);
  EndpointModel endpoint(request_class);
  SteadyTime now = kStart;
  for (const Fate fate : fates) {
    const RetryDecision decision =
        policy.Decide(endpoint.Attempt(fate), now, 0.5, budget);
    if (const auto* retry = std::get_if<RetryAfter>(&decision)) {
      now += retry->delay;
      RC_ASSERT(now < kDeadline);
      continue;
    }
    const Outcome& outcome = std::get<Report>(decision).outcome;
    const int effects = endpoint.FinalEffects();
    RC_CLASSIFY(policy.Attempts() > 1, "retried");
    if (std::holds_alternative<NotRun>(outcome)) RC_ASSERT(effects == 0);
    if (std::holds_alternative<Done>(outcome)) RC_ASSERT(effects >= 1);
    break;
  }
  const bool once = request_class == RequestClass::kKeyedWrite ||
                    request_class == RequestClass::kUnrepeatableWrite;
  if (once) RC_ASSERT(endpoint.FinalEffects() <= 1);
}

// Guards against a budget that lets retries multiply the load.
RC_GTEST_PROP(RetryBudgetProperty, AnyLoad_TryTake_StaysWithinTheBound, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 400)));
  RetryBudget budget(kStart);
  SteadyTime now = kStart;
  double allowed = kMaxSavedRetries;
  int taken = 0;
  for (const auto& [pause_ms, requests] : steps) {
    now += milliseconds(pause_ms);
    for (int i = 0; i < requests; ++i) budget.RequestStarted();
    allowed += 0.003 * pause_ms + 0.1 * requests;
    while (budget.TryTake(now)) ++taken;
    RC_ASSERT(taken <= allowed + 1e-6);
  }
}

class RetryPolicyTest : public testing::Test {
 protected:
  RetryPolicyTest() {
    for (int i = 0; i < 1000; ++i) this->budget.RequestStarted();
  }

  static Outcome Refused(NotRunReason reason) { return NotRun{reason, {}}; }

  RetryDecision Decide(RetryPolicy& policy, const Outcome& outcome,
                       SteadyTime now = kStart, double jitter = 1.0) {
    return policy.Decide(outcome, now, jitter, this->budget);
  }

  /// Reason of the refusal that the decision reports, if it does.
  static std::optional<NotRunReason> RefusalIn(const RetryDecision& decision) {
    const auto* report = std::get_if<Report>(&decision);
    if (report == nullptr) return std::nullopt;
    const auto* not_run = std::get_if<NotRun>(&report->outcome);
    if (not_run == nullptr) return std::nullopt;
    return not_run->reason;
  }

  static bool ReportsUnknown(const RetryDecision& decision) {
    const auto* report = std::get_if<Report>(&decision);
    return report != nullptr &&
           std::holds_alternative<Unknown>(report->outcome);
  }

  static bool Retries(const RetryDecision& decision) {
    return std::holds_alternative<RetryAfter>(decision);
  }

  RetryBudget budget{kStart};
};

// Guards against a second payout after a lost answer.
TEST_F(RetryPolicyTest, UnrepeatableWriteUnknown_Decide_ReportsUnknown) {
  RetryPolicy policy(RequestClass::kUnrepeatableWrite, kDeadline);
  EXPECT_TRUE(ReportsUnknown(this->Decide(policy, Unknown{})));
}

// Guards against clients that see faults which a retry would hide.
TEST_F(RetryPolicyTest, RepeatableUnknown_Decide_RetriesElsewhere) {
  for (const RequestClass request_class :
       {RequestClass::kRead, RequestClass::kKeyedWrite,
        RequestClass::kRepeatableWrite}) {
    RetryPolicy policy(request_class, kDeadline);
    const RetryDecision decision = this->Decide(policy, Unknown{});
    ASSERT_TRUE(Retries(decision));
    EXPECT_TRUE(std::get<RetryAfter>(decision).choose_another_endpoint);
    EXPECT_TRUE(std::holds_alternative<Done>(
        std::get<Report>(this->Decide(policy, Done{})).outcome));
  }
}

// Guards against a write that is not retried although it certainly didn't run.
TEST_F(RetryPolicyTest, TransientRefusal_Decide_RetriesEveryClass) {
  for (const RequestClass request_class : kAllClasses) {
    RetryPolicy policy(request_class, kDeadline);
    const bool read = request_class == RequestClass::kRead;
    const RetryDecision moved =
        this->Decide(policy, Refused(NotRunReason::kNotPrimary));
    const RetryDecision busy =
        this->Decide(policy, Refused(NotRunReason::kQueueFull));
    ASSERT_TRUE(Retries(moved));
    ASSERT_TRUE(Retries(busy));
    EXPECT_TRUE(std::get<RetryAfter>(moved).choose_another_endpoint);
    EXPECT_EQ(std::get<RetryAfter>(busy).choose_another_endpoint, read);
  }
}

// Guards against a first refusal that reaches the client as unknown.
TEST_F(RetryPolicyTest, FirstRefusal_Decide_StaysNotRun) {
  RetryPolicy final_reason(RequestClass::kKeyedWrite, kDeadline);
  EXPECT_EQ(
      RefusalIn(this->Decide(final_reason, Refused(NotRunReason::kConflict))),
      NotRunReason::kConflict);
  RetryPolicy late(RequestClass::kUnrepeatableWrite, kDeadline);
  EXPECT_EQ(RefusalIn(this->Decide(late, Refused(NotRunReason::kQueueFull),
                                   kDeadline)),
            NotRunReason::kQueueFull);
}

// Guards against a refusal of a later attempt that hides an earlier one which
// may have run.
TEST_F(RetryPolicyTest, RefusalAfterUnknown_Decide_ReportsUnknown) {
  for (const NotRunReason reason :
       {NotRunReason::kQueueFull, NotRunReason::kConflict,
        NotRunReason::kDraining, NotRunReason::kRateExceeded}) {
    RetryPolicy policy(RequestClass::kKeyedWrite, kDeadline);
    EXPECT_TRUE(Retries(this->Decide(policy, Unknown{})));
    EXPECT_TRUE(
        ReportsUnknown(this->Decide(policy, Refused(reason), kDeadline)));
  }
}

// Guards against a mismatch that reaches the client as unknown for ever.
TEST_F(RetryPolicyTest, MismatchAfterUnknown_Decide_ReportsOnlyForKeys) {
  const Outcome mismatch = Refused(NotRunReason::kIdempotencyMismatch);
  RetryPolicy keyed(RequestClass::kKeyedWrite, kDeadline);
  EXPECT_TRUE(Retries(this->Decide(keyed, Unknown{})));
  EXPECT_EQ(RefusalIn(this->Decide(keyed, mismatch)),
            NotRunReason::kIdempotencyMismatch);
  RetryPolicy repeatable(RequestClass::kRepeatableWrite, kDeadline);
  EXPECT_TRUE(Retries(this->Decide(repeatable, Unknown{})));
  EXPECT_TRUE(ReportsUnknown(this->Decide(repeatable, mismatch)));
}

// Guards against retries that the client no longer waits for.
TEST_F(RetryPolicyTest, DelayReachesDeadline_Decide_Reports) {
  const Outcome busy =
      NotRun{NotRunReason::kQueueFull, Duration(milliseconds(100))};
  RetryPolicy in_time(RequestClass::kRead, kDeadline);
  EXPECT_TRUE(
      Retries(this->Decide(in_time, busy, kDeadline - milliseconds(101))));
  RetryPolicy late(RequestClass::kRead, kDeadline);
  EXPECT_FALSE(
      Retries(this->Decide(late, busy, kDeadline - milliseconds(100))));
  const Outcome endless = NotRun{NotRunReason::kQueueFull, Duration::max()};
  RetryPolicy hinted(RequestClass::kRead, kDeadline);
  EXPECT_FALSE(Retries(this->Decide(hinted, endless)));
}

// Guards against a retry storm when the budget is spent.
TEST_F(RetryPolicyTest, EmptyBudget_Decide_ReportsTheOutcome) {
  while (this->budget.TryTake(kStart)) {
  }
  RetryPolicy policy(RequestClass::kRead, kDeadline);
  EXPECT_EQ(RefusalIn(this->Decide(policy, Refused(NotRunReason::kLagging))),
            NotRunReason::kLagging);
}

// Guards against clients that retry in step, and against delays without bound.
TEST_F(RetryPolicyTest, Jitter_Decide_SpreadsABoundedDelay) {
  RetryPolicy policy(RequestClass::kRead, kStart + seconds(25));
  Duration expected = kFirstRetryDelay;
  for (int attempt = 1; attempt < 20; ++attempt) {
    RetryPolicy low = policy;
    RetryPolicy invalid = policy;
    const auto delay_of = [](const RetryDecision& decision) {
      return std::get<RetryAfter>(decision).delay;
    };
    const double nan = std::numeric_limits<double>::quiet_NaN();
    EXPECT_EQ(delay_of(this->Decide(low, Unknown{}, kStart, 0.0)),
              expected / 2);
    EXPECT_EQ(delay_of(this->Decide(invalid, Unknown{}, kStart, nan)),
              expected / 2);
    EXPECT_EQ(delay_of(this->Decide(policy, Unknown{}, kStart, 1.0)), expected);
    expected = std::min<Duration>(expected * 2, kMaxRetryDelay);
  }
}

}  // namespace
}  // namespace camphorferry::request
