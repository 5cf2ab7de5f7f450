#include "rate_limit_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>
#include <iomanip>
#include <iostream>
#include <map>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace camphorferry::process {
namespace {

using common::Duration;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

enum class CommandKind {
  kRequests,
  kLoad,
  kAdvance,
  kAdvanceLong,
  kPause,
  kResume,
  kKill,
  kRestart,
  kDrain,
  kStore,
  kCutFromStore,
  kCutFromPeers,
  kLoseAnswers,
  kFailLoan,
  kLoanThenBurst,
  kDrainThenBurst,
  kSetLimits,
};

/// One step of a run; what the numbers mean depends on the kind.
struct Command {
  CommandKind kind = CommandKind::kRequests;
  std::size_t daemon = 0;
  int amount = 0;
  bool on = false;
};

std::ostream& operator<<(std::ostream& out, const Command& command) {
  return out << "{kind " << static_cast<int>(command.kind) << ", daemon "
             << command.daemon << ", amount " << command.amount << ", on "
             << command.on << "}";
}

constexpr std::size_t kDaemons = 4;

rc::Gen<Command> AnyCommand() {
  using rc::gen::inRange;
  const auto kind = rc::gen::weightedElement<CommandKind>({
      {6, CommandKind::kRequests},
      {4, CommandKind::kLoad},
      {4, CommandKind::kAdvance},
      {3, CommandKind::kAdvanceLong},
      {2, CommandKind::kPause},
      {4, CommandKind::kResume},
      {1, CommandKind::kKill},
      {3, CommandKind::kRestart},
      {1, CommandKind::kDrain},
      {2, CommandKind::kStore},
      {2, CommandKind::kCutFromStore},
      {1, CommandKind::kCutFromPeers},
      {2, CommandKind::kLoseAnswers},
      {2, CommandKind::kFailLoan},
      {8, CommandKind::kLoanThenBurst},
      {1, CommandKind::kDrainThenBurst},
      {1, CommandKind::kSetLimits},
  });
  return rc::gen::build<Command>(
      rc::gen::set(&Command::kind, kind),
      rc::gen::set(&Command::daemon, inRange<std::size_t>(0, kDaemons)),
      rc::gen::set(&Command::amount, inRange(0, 100)),
      rc::gen::set(&Command::on, rc::gen::arbitrary<bool>()));
}

/// Requests at one daemon, or at all, for some time.
void Load(RateLimitSimulation& fleet, const Command& command) {
  fleet.Advance(milliseconds(100 * command.amount), milliseconds(50), [&] {
    for (std::size_t each = 0; each < fleet.Size(); ++each) {
      if (command.on || each == command.daemon) {
        fleet.Request(each, 1 + command.amount / 20);
      }
    }
  });
}

/// Every daemon uses all that it has. Rate or capacity that is at two daemons
/// shows here.
void Burst(RateLimitSimulation& fleet) {
  for (std::size_t each = 0; each < fleet.Size(); ++each) {
    fleet.Request(each, 20);
  }
}

/// A daemon runs dry, which makes it borrow; its loan meets a fault; the
/// buckets fill, and every daemon uses all that it has while the loan runs,
/// ends or has ended.
void LoanThenBurst(RateLimitSimulation& fleet, const Command& command) {
  fleet.Advance(seconds(2), milliseconds(100));
  fleet.FailNextLoan(static_cast<LoanFault>(command.amount % 6),
                     milliseconds(60 * command.amount));
  fleet.Request(command.daemon, 20);
  fleet.CutFromPeers(command.daemon, command.on);
  fleet.Advance(milliseconds(101 * command.amount), milliseconds(100));
  Burst(fleet);
  fleet.CutFromPeers(command.daemon, false);
}

/// A daemon drains while a loan from it may run, another takes its slot, and
/// every daemon uses all that it has.
void DrainThenBurst(RateLimitSimulation& fleet, const Command& command) {
  fleet.Request((command.daemon + 1) % fleet.Size(), 20);
  fleet.Advance(milliseconds(10), milliseconds(10));
  fleet.Drain(command.daemon);
  fleet.Advance(milliseconds(101 * command.amount), milliseconds(100));
  Burst(fleet);
}

void Run(RateLimitSimulation& fleet, const Command& command) {
  const std::size_t daemon = command.daemon;
  switch (command.kind) {
    case CommandKind::kRequests:
      return command.on ? Burst(fleet)
                        : fleet.Request(daemon, command.amount / 3);
    case CommandKind::kLoad:
      return Load(fleet, command);
    case CommandKind::kLoanThenBurst:
      return LoanThenBurst(fleet, command);
    case CommandKind::kDrainThenBurst:
      return DrainThenBurst(fleet, command);
    case CommandKind::kAdvance:
      return fleet.Advance(milliseconds(101 * command.amount),
                           milliseconds(100));
    case CommandKind::kAdvanceLong:
      return fleet.Advance(minutes(command.amount), seconds(20));
    case CommandKind::kPause:
      return fleet.Pause(daemon);
    case CommandKind::kResume:
      return fleet.Resume(daemon);
    case CommandKind::kKill:
      return fleet.Kill(daemon);
    case CommandKind::kRestart:
      return fleet.Restart(daemon);
    case CommandKind::kDrain:
      return fleet.Drain(daemon);
    case CommandKind::kStore:
      return fleet.SetStoreUp(command.on);
    case CommandKind::kCutFromStore:
      return fleet.CutFromStore(daemon, command.on);
    case CommandKind::kCutFromPeers:
      return fleet.CutFromPeers(daemon, command.on);
    case CommandKind::kLoseAnswers:
      return fleet.LoseAnswers(
          1 + command.amount / 25,
          command.on ? milliseconds(2) : seconds(command.amount * 6));
    case CommandKind::kFailLoan:
      return fleet.FailNextLoan(static_cast<LoanFault>(command.amount % 6),
                                milliseconds(60 * command.amount));
    case CommandKind::kSetLimits:
      return fleet.SetLimits(10 + command.amount, 4 + command.amount / 4,
                             command.on ? milliseconds(20) : seconds(10));
  }
}

std::vector<std::int64_t> AnyClocks() {
  return *rc::gen::container<std::vector<std::int64_t>>(
      kDaemons, rc::gen::element<std::int64_t>(-5000, 0, 5000));
}

// Guards against any combination of faults in which the daemons together admit
// more than a workspace's rate and burst.
RC_GTEST_PROP(RateLimitSimulationTest, AnyFaults_AnyWindow_IsWithinRateAndBurst,
              ()) {
  RateLimitSimulation::Options options;
  options.clock_ppm = AnyClocks();
  RateLimitSimulation fleet(options);
  const auto commands = *rc::gen::container<std::vector<Command>>(AnyCommand());
  fleet.Advance(minutes(2), seconds(1));
  for (const Command& command : commands) {
    Run(fleet, command);
  }
  RC_TAG(fleet.AdmittedCount() > 200 ? "over 200 admitted" : "fewer");
  RC_ASSERT(fleet.WorstExcess() <= 1e-6);
}

class RateLimitScenarioTest : public testing::Test {
 protected:
  /// A holder that lost the store and the host list goes on with its slots
  /// while another daemon wants them.
  static double ExcessWhenAHolderIsCutOff(bool wait_for_lease) {
    RateLimitSimulation::Options options;
    options.daemons_per_domain = 2;
    options.lease.wait_for_lease = wait_for_lease;
    RateLimitSimulation fleet(options);
    fleet.Kill(1);
    fleet.Advance(minutes(2), seconds(1));
    fleet.CutFromStore(0, true);
    fleet.Restart(1);
    fleet.Advance(minutes(2), seconds(1));
    fleet.Request(0, 50);
    fleet.Request(1, 50);
    return fleet.WorstExcess();
  }

  /// A loan whose answer takes most of the loan's time; when the lender has
  /// taken it back, both use all that they have.
  static double ExcessWhenALoanIsLate(bool counts_from_request) {
    RateLimitSimulation::Options options;
    options.daemons_per_domain = 2;
    options.share.loan_counts_from_request = counts_from_request;
    RateLimitSimulation fleet(options);
    fleet.Advance(minutes(3), seconds(1));
    fleet.FailNextLoan(LoanFault::kAnswerDelayed, milliseconds(4500));
    fleet.Request(0, 20);
    // No further loans, so that only the late one counts.
    fleet.CutFromPeers(0, true);
    fleet.Advance(milliseconds(9000), milliseconds(100));
    fleet.Request(0, 50);
    fleet.Request(1, 50);
    return fleet.WorstExcess();
  }

  /// Served part of the rate with more requests than that at all daemons.
  static double UsablePart(RateLimitSimulation& fleet, Duration time,
                           const std::vector<std::size_t>& loaded,
                           Duration step = milliseconds(500)) {
    const std::size_t before = fleet.AdmittedCount();
    // Five times the rate in total.
    const int requests =
        static_cast<int>(step / milliseconds(5) * 2 / loaded.size());
    fleet.Advance(time, step, [&] {
      for (const std::size_t daemon : loaded) {
        fleet.Request(daemon, requests);
      }
    });
    const double due = 80 * std::chrono::duration<double>(time).count();
    return static_cast<double>(fleet.AdmittedCount() - before) / due;
  }

  /// Part of the random requests within a workspace's limits, as one bucket for
  /// all would admit them, that is refused. A refused request waits for up to
  /// half a second and asks again. Some part of all requests comes to one
  /// daemon, the rest evenly.
  static double WrongfullyRefused(std::uint32_t burst, double load,
                                  double skew) {
    constexpr Duration kStep = milliseconds(5);
    constexpr int kWaitSteps = 100;
    RateLimitSimulation::Options options = EightHosts(1);
    options.burst = burst;
    RateLimitSimulation fleet(options);
    fleet.Advance(minutes(5), seconds(1));
    std::mt19937_64 random(20261204);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::vector<std::deque<int>> waiting(fleet.Size());
    const double per_step = options.rate * 0.005;
    double level = burst;
    int step = 0;
    int due = 0;
    int refused = 0;
    fleet.Advance(minutes(3), kStep, [&] {
      ++step;
      level = std::min<double>(burst, level + per_step);
      for (std::size_t daemon = 0; daemon < fleet.Size(); ++daemon) {
        std::deque<int>& queue = waiting[daemon];
        while (!queue.empty() && fleet.Ask(daemon, Attempt::kRetry)) {
          queue.pop_front();
        }
        while (!queue.empty() && queue.front() <= step) {
          queue.pop_front();
          ++refused;
        }
      }
      for (std::size_t daemon = 0; daemon < fleet.Size(); ++daemon) {
        if (uniform(random) >= load * per_step / 8 || level < 1) {
          continue;
        }
        level -= 1;
        ++due;
        const std::size_t target = uniform(random) < skew ? 0 : daemon;
        if (!fleet.Ask(target, Attempt::kFirst)) {
          waiting[target].push_back(step + kWaitSteps);
        }
      }
    });
    return static_cast<double>(refused) / due;
  }

  /// Eight hosts with a slot each, and a workspace with 80 requests/s.
  static RateLimitSimulation::Options EightHosts(std::uint32_t domains) {
    RateLimitSimulation::Options options;
    options.domains = domains;
    options.daemons_per_domain = 8 / domains;
    options.slots_per_domain = 8 / domains;
    options.rate = 80;
    options.burst = 80;
    return options;
  }

  static std::vector<std::size_t> AllEight() {
    return {0, 1, 2, 3, 4, 5, 6, 7};
  }
};

// Guards against an oracle that misses a slot which two daemons use.
TEST_F(RateLimitScenarioTest, SlotTakenWithoutWaiting_Oracle_NoticesIt) {
  EXPECT_GT(ExcessWhenAHolderIsCutOff(false), 1);
  EXPECT_LE(ExcessWhenAHolderIsCutOff(true), 1e-6);
}

// Guards against an oracle that misses a loan which two daemons use.
TEST_F(RateLimitScenarioTest, LoanCountedFromTheAnswer_Oracle_NoticesIt) {
  EXPECT_GT(ExcessWhenALoanIsLate(false), 1);
  EXPECT_LE(ExcessWhenALoanIsLate(true), 1e-6);
}

// Guards against usable parts of a rate below what section 4.5 states. Buckets
// refill at 99.5% of the rate, so 100% shows as 0.995.
TEST_F(RateLimitScenarioTest, FourFaults_UsablePart_IsAsTheDesignStates) {
  RateLimitSimulation store_down(EightHosts(1));
  store_down.Advance(minutes(5), seconds(1));
  store_down.SetStoreUp(false);
  const double with_store_down = UsablePart(store_down, hours(1), AllEight());

  RateLimitSimulation cut_off(EightHosts(2));
  cut_off.Advance(minutes(5), seconds(1));
  for (std::size_t daemon = 0; daemon < 4; ++daemon) {
    cut_off.CutFromStore(daemon, true);
    cut_off.CutFromPeers(daemon, true);
  }
  const double with_domain_cut_off = UsablePart(cut_off, hours(1), AllEight());

  RateLimitSimulation killed(EightHosts(1));
  killed.Advance(minutes(5), seconds(1));
  killed.Kill(0);
  const double with_host_killed = UsablePart(killed, hours(1), AllEight());
  // The lease is over for the taker after 91 minutes and a read each minute.
  killed.Advance(minutes(35), seconds(1));
  const double after_the_lease = UsablePart(killed, minutes(10), AllEight());

  RateLimitSimulation both(EightHosts(1));
  both.Advance(minutes(5), seconds(1));
  both.SetStoreUp(false);
  both.Kill(0);
  const double with_both = UsablePart(both, hours(1), AllEight());

  std::cout << std::fixed << std::setprecision(4)
            << "usable part: store down for an hour " << with_store_down
            << ", domain cut off " << with_domain_cut_off << ", host killed "
            << with_host_killed << " (after the lease " << after_the_lease
            << "), store down and host killed " << with_both << "\n";
  EXPECT_NEAR(with_store_down, 0.995, 0.003);
  EXPECT_NEAR(with_domain_cut_off, 0.995, 0.003);
  EXPECT_NEAR(with_host_killed, 0.995 * 7 / 8, 0.003);
  EXPECT_NEAR(after_the_lease, 0.995, 0.003);
  EXPECT_NEAR(with_both, 0.995 * 7 / 8, 0.003);
}

// Guards against a workspace that gets only one daemon's part of its rate
// because all its requests come to that daemon.
TEST_F(RateLimitScenarioTest, AllRequestsAtOneDaemon_Loans_BringTheRest) {
  RateLimitSimulation fleet(EightHosts(1));
  fleet.Advance(minutes(5), seconds(1));
  UsablePart(fleet, seconds(30), {3}, milliseconds(50));
  const double part = UsablePart(fleet, minutes(10), {3}, milliseconds(50));
  std::cout << std::fixed << std::setprecision(4)
            << "usable part at one of eight daemons " << part << "\n";
  EXPECT_GE(part, 0.98);
}

// Guards against loans that do not even out random requests, so that some are
// refused although the workspace is within its rate. A bound of 1 only prints:
// there, random requests exceed the few tokens at a daemon faster than loans
// come.
TEST_F(RateLimitScenarioTest, WithinTheRate_RefusedPart_IsSmall) {
  // Bounds for load 0.5 evenly, 0.5 mostly at one daemon, 0.9 evenly, and 0.9
  // mostly at one daemon.
  const std::map<std::uint32_t, std::array<double, 4>> bounds = {
      {40, {0.01, 0.01, 1, 1}},
      {80, {0.001, 0.01, 0.01, 1}},
      {160, {0.001, 0.001, 0.001, 0.05}}};
  for (const auto& [burst, bound] : bounds) {
    const std::array<double, 4> refused = {
        WrongfullyRefused(burst, 0.5, 0), WrongfullyRefused(burst, 0.5, 0.6),
        WrongfullyRefused(burst, 0.9, 0), WrongfullyRefused(burst, 0.9, 0.6)};
    std::cout << "refused with burst " << burst << ":" << std::fixed
              << std::setprecision(4);
    for (std::size_t each = 0; each < refused.size(); ++each) {
      std::cout << " " << refused[each];
      EXPECT_LE(refused[each], bound[each]) << "burst " << burst;
    }
    std::cout << "\n";
  }
}

}  // namespace
}  // namespace camphorferry::process
