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

/// What happens to one attempt in EndpointModel.
enum class AttemptFate {
  kAnswered,
  kAnswerLost,
  kNeverArrives,
  kArrivesLate,
  kQueueFull,
  kStaleTerm,
  kConflict,
  kMismatch,
};

/// Model of an endpoint that counts effects. Other clients create and remove
/// the cause of a conflict at any time. A mismatch is permanent, because the
/// key's record is kept.
class EndpointModel {
 public:
  explicit EndpointModel(RequestClass request_class)
      : keyed(request_class == RequestClass::kKeyedWrite) {}

  Outcome Attempt(AttemptFate fate) {
    switch (fate) {
      case AttemptFate::kAnswered:
        return this->Run();
      case AttemptFate::kAnswerLost:
        this->Run();
        return Unknown{UnknownReason::kNoAnswer};
      case AttemptFate::kNeverArrives:
        return Unknown{UnknownReason::kConnectionLost};
      case AttemptFate::kArrivesLate:
        ++this->in_flight;
        return Unknown{UnknownReason::kConnectionLost};
      case AttemptFate::kQueueFull:
        return NotRun{NotRunReason::kQueueFull, {}};
      case AttemptFate::kStaleTerm:
        return NotRun{NotRunReason::kStaleTerm, {}};
      case AttemptFate::kConflict:
        if (this->keyed && this->effects > 0) return this->Run();
        return NotRun{NotRunReason::kConflict, {}};
      case AttemptFate::kMismatch:
        if (!this->keyed || this->effects > 0) return this->Run();
        this->key_taken = true;
        return this->Run();
    }
    return this->Run();
  }

  /// Number of effects after all attempts in flight have arrived.
  int FinalEffects() {
    for (; this->in_flight > 0; --this->in_flight) this->Run();
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
  int in_flight = 0;
};

// Guards against writes that run twice, and against requests that are reported
// as not run although they have had or will still have an effect.
RC_GTEST_PROP(RetryPolicyProperty, AnyFaults_Report_MatchesTheEffects, ()) {
  const auto request_class = *rc::gen::elementOf(kAllClasses);
  const auto fates = *rc::gen::container<std::vector<AttemptFate>>(
      rc::gen::map(rc::gen::inRange(0, 8),
                   [](int value) { return static_cast<AttemptFate>(value); }));
  RetryBudget budget(kStart);
  RetryPolicy policy(request_class, kDeadline);
  EndpointModel endpoint(request_class);
  SteadyTime now = kStart;
  for (const AttemptFate fate : fates) {
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
  const bool at_most_once = request_class == RequestClass::kKeyedWrite ||
                            request_class == RequestClass::kUnrepeatableWrite;
  if (at_most_once) RC_ASSERT(endpoint.FinalEffects() <= 1);
}

// Guards against a budget that allows more retries than its stated limit.
RC_GTEST_PROP(RetryBudgetProperty, AnyLoad_TryConsume_StaysWithinTheLimit, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 400), rc::gen::inRange(0, 400)));
  RetryBudget budget(kStart);
  SteadyTime now = kStart;
  double allowed = kMaxRetryBurst;
  int taken = 0;
  for (const auto& [interval_ms, requests] : steps) {
    now += milliseconds(interval_ms);
    for (int i = 0; i < requests; ++i) budget.RequestStarted();
    allowed += 0.003 * interval_ms + 0.1 * requests;
    while (budget.TryConsume(now)) ++taken;
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

  /// Reason of the refusal that the decision reports; none for other decisions.
  static std::optional<NotRunReason> ReportedReason(
      const RetryDecision& decision) {
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

// Guards against a write that runs again after its answer was lost.
TEST_F(RetryPolicyTest, UnrepeatableWriteUnknown_Decide_ReportsUnknown) {
  RetryPolicy policy(RequestClass::kUnrepeatableWrite, kDeadline);
  EXPECT_TRUE(ReportsUnknown(this->Decide(policy, Unknown{})));
}

// Guards against errors that reach the client although a retry is allowed.
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

// Guards against a write that is not retried although it has had no effect.
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

// Guards against reporting the first refusal of a request as unknown.
TEST_F(RetryPolicyTest, FirstRefusal_Decide_StaysNotRun) {
  RetryPolicy final_reason(RequestClass::kKeyedWrite, kDeadline);
  EXPECT_EQ(ReportedReason(
                this->Decide(final_reason, Refused(NotRunReason::kConflict))),
            NotRunReason::kConflict);
  RetryPolicy late(RequestClass::kUnrepeatableWrite, kDeadline);
  EXPECT_EQ(ReportedReason(this->Decide(late, Refused(NotRunReason::kQueueFull),
                                        kDeadline)),
            NotRunReason::kQueueFull);
}

// Guards against reporting a request as not run because its last attempt was
// refused, although an earlier attempt may have run.
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

// Guards against a mismatch that is reported as unknown on every retry of the
// client.
TEST_F(RetryPolicyTest, MismatchAfterUnknown_Decide_ReportsOnlyForKeys) {
  const Outcome mismatch = Refused(NotRunReason::kIdempotencyMismatch);
  RetryPolicy keyed(RequestClass::kKeyedWrite, kDeadline);
  EXPECT_TRUE(Retries(this->Decide(keyed, Unknown{})));
  EXPECT_EQ(ReportedReason(this->Decide(keyed, mismatch)),
            NotRunReason::kIdempotencyMismatch);
  RetryPolicy repeatable(RequestClass::kRepeatableWrite, kDeadline);
  EXPECT_TRUE(Retries(this->Decide(repeatable, Unknown{})));
  EXPECT_TRUE(ReportsUnknown(this->Decide(repeatable, mismatch)));
}

// Guards against retries after the client's deadline.
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

// Guards against retries when the budget is exhausted.
TEST_F(RetryPolicyTest, EmptyBudget_Decide_ReportsTheOutcome) {
  while (this->budget.TryConsume(kStart)) {
  }
  RetryPolicy policy(RequestClass::kRead, kDeadline);
  EXPECT_EQ(
      ReportedReason(this->Decide(policy, Refused(NotRunReason::kLagging))),
      NotRunReason::kLagging);
}

// Guards against synchronized retries and against unlimited delays.
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
