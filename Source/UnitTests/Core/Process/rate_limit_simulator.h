#ifndef CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATOR_H_
#define CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATOR_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Process/process.h"

namespace camphorferry::process {

/// Fault that affects the messages of the next loan.
enum class LoanFault {
  kNone,
  kRequestLost,
  kRequestDuplicated,
  kAnswerLost,
  kAnswerDuplicated,
  kAnswerDelayed,
};

/// Simulator of daemons, a store and the network between them in virtual time.
/// Each daemon reads that time from a clock with its own rate error.
class RateLimitSimulator {
 public:
  struct Options {
    std::uint32_t domains = 1;
    std::uint32_t daemons_per_domain = 4;
    std::uint32_t slots_per_domain = 4;
    std::uint32_t rate = 40;
    std::uint32_t burst = 12;
    /// Error of each daemon's clock rate in parts per million; missing entries
    /// are zero.
    std::vector<std::int64_t> clock_ppm;
    LocalRateLimiter::Policy limiter_policy;
    RateSlotLeaseManager::Policy lease_policy;
  };

  explicit RateLimitSimulator(const Options& options) : options(options) {
    this->limits.push_back({{options.rate, options.burst,
                             options.domains * options.slots_per_domain},
                            common::Duration::zero()});
    this->stores.resize(options.domains);
    const std::uint32_t count = options.domains * options.daemons_per_domain;
    for (std::uint32_t index = 0; index < count; ++index) {
      this->daemons.push_back(std::make_unique<Daemon>());
      Daemon& daemon = *this->daemons.back();
      daemon.host = common::HostId("host-" + std::to_string(index));
      daemon.domain = index / options.daemons_per_domain;
      if (index < options.clock_ppm.size()) {
        daemon.clock_ppm = options.clock_ppm[index];
      }
      this->Start(daemon);
    }
    this->PublishHosts();
  }

  std::size_t Size() const { return this->daemons.size(); }

  /// Advances the time. Every daemon is ticked once per step.
  void Advance(
      common::Duration time, common::Duration step,
      const std::function<void()>& each_step = [] {}) {
    const common::Duration end = this->real_time + time;
    while (this->real_time < end) {
      const common::Duration next = std::min(this->real_time + step, end);
      this->Deliver(next);
      this->real_time = next;
      for (const auto& daemon : this->daemons) {
        if (daemon->alive && !daemon->paused) {
          this->PerformActions(
              *daemon, daemon->lease_manager->Tick(this->Clock(*daemon)));
          this->RequestLoan(*daemon);
        }
      }
      each_step();
    }
  }

  /// Sends requests to a daemon at the same time.
  void Request(std::size_t index, int requests) {
    for (int request = 0; request < requests; ++request) {
      this->Admit(index, Attempt::kFirst);
    }
  }

  /// Sends one request to a daemon; true if it was admitted.
  bool Admit(std::size_t index, Attempt attempt) {
    Daemon& daemon = *this->daemons[index];
    if (!daemon.alive || daemon.paused || daemon.draining) {
      return false;
    }
    const Admission admission =
        daemon.limiter->Admit(this->Clock(daemon), attempt);
    const bool admitted = std::holds_alternative<Admitted>(admission);
    if (admitted) {
      this->admissions.push_back(this->real_time);
    }
    this->RequestLoan(daemon);
    return admitted;
  }

  void Pause(std::size_t index) { this->daemons[index]->paused = true; }

  void Resume(std::size_t index) {
    Daemon& daemon = *this->daemons[index];
    daemon.paused = false;
    for (auto& event : std::exchange(daemon.deferred_events, {})) {
      event();
    }
  }

  void Kill(std::size_t index) {
    Daemon& daemon = *this->daemons[index];
    daemon.alive = false;
    daemon.deferred_events.clear();
    daemon.known_limits = this->limits.size();
    this->UpdateOutdatedLimits();
    this->PublishHosts();
  }

  void Restart(std::size_t index) {
    this->Kill(index);
    this->Start(*this->daemons[index]);
    this->PublishHosts();
  }

  void Drain(std::size_t index) {
    Daemon& daemon = *this->daemons[index];
    if (!daemon.alive || daemon.paused) {
      return;
    }
    daemon.draining = true;
    this->PerformActions(daemon,
                         daemon.lease_manager->Drain(this->Clock(daemon)));
    this->PublishHosts();
  }

  void SetStoreUp(bool available) { this->store_up = available; }
  void CutFromStore(std::size_t index, bool cut) {
    this->daemons[index]->store_cut = cut;
  }
  void CutFromPeers(std::size_t index, bool cut) {
    this->daemons[index]->peers_cut = cut;
  }
  /// The next `answers` store updates take effect after a delay, and their
  /// responses are lost.
  void LoseAnswers(int answers, common::Duration effect_after) {
    this->lost_answers = answers;
    this->late_effect = effect_after;
  }
  void FailNextLoan(LoanFault fault, common::Duration delay) {
    this->loan_fault = fault;
    this->loan_delay = delay;
  }

  /// Changes the limits. Each daemon applies them after a different delay.
  void SetLimits(std::uint32_t rate, std::uint32_t burst,
                 common::Duration spread) {
    this->limits.push_back(
        {{rate, burst, this->limits[0].limits.total_slots}, this->real_time});
    const std::size_t version = this->limits.size();
    common::Duration delay = std::chrono::milliseconds(1);
    for (const auto& daemon : this->daemons) {
      delay += spread;
      this->SendToDaemon(*daemon, delay, [this, version](Daemon& receiver) {
        if (receiver.known_limits < version) {
          receiver.known_limits = version;
          receiver.limiter->SetLimits(this->limits[version - 1].limits,
                                      this->Clock(receiver));
          this->UpdateOutdatedLimits();
        }
      });
    }
    this->UpdateOutdatedLimits();
  }

  std::size_t AdmittedCount() const { return this->admissions.size(); }

  /// Number of slots that a daemon currently uses.
  std::size_t SlotsOf(std::size_t index) const {
    const Daemon& daemon = *this->daemons[index];
    return daemon.alive
               ? daemon.lease_manager->HeldSlots(this->Clock(daemon)).size()
               : 0;
  }

  /// Checks every window that begins and ends with an admission: at most rate x
  /// window + burst, using the largest limits that some daemon may apply in the
  /// window. Returns the largest excess in requests.
  double WorstExcess() const {
    double worst = -1e9;
    for (std::size_t first = 0; first < this->admissions.size(); ++first) {
      for (std::size_t last = first; last < this->admissions.size(); ++last) {
        const common::Duration from = this->admissions[first];
        const common::Duration to = this->admissions[last];
        std::uint32_t rate = 0;
        std::uint32_t burst = 0;
        for (const LimitsInForce& each : this->limits) {
          if (each.from <= to && each.until >= from) {
            rate = std::max(rate, each.limits.rate);
            burst = std::max(burst, each.limits.burst);
          }
        }
        const double seconds = std::chrono::duration<double>(to - from).count();
        worst = std::max(worst, static_cast<double>(last - first + 1) - burst -
                                    static_cast<double>(rate) * seconds);
      }
    }
    return worst;
  }

 private:
  struct Daemon {
    common::HostId host;
    std::uint32_t domain = 0;
    std::int64_t clock_ppm = 0;
    Incarnation incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool draining = false;
    bool store_cut = false;
    bool peers_cut = false;
    /// Number of limit versions known to the daemon; it applies the latest.
    std::size_t known_limits = 0;
    std::unique_ptr<LocalRateLimiter> limiter;
    std::unique_ptr<RateSlotLeaseManager> lease_manager;
    /// Events deferred until the end of a pause.
    std::vector<std::function<void()>> deferred_events;
    LenderSelector lender_selector;
  };

  struct Store {
    ObjectVersion version = 0;
    std::string content;
  };

  struct LimitsInForce {
    RateLimits limits;
    common::Duration from;
    /// Time at which the last daemon that knew nothing newer, and its loans,
    /// had ended.
    common::Duration until = common::Duration::max();
  };

  static constexpr common::Duration kLatency = std::chrono::milliseconds(2);
  static constexpr common::Duration kCallTimeout = std::chrono::seconds(1);
  static constexpr common::Duration kHostListLag = std::chrono::seconds(10);

  common::SteadyTime Clock(const Daemon& daemon) const {
    const common::Duration error =
        this->real_time / 1'000'000 * daemon.clock_ppm;
    return common::SteadyTime(std::chrono::hours(1) + this->real_time + error);
  }

  void Start(Daemon& daemon) {
    ++daemon.incarnation;
    daemon.alive = true;
    daemon.paused = false;
    daemon.draining = false;
    daemon.known_limits = this->limits.size();
    daemon.limiter = std::make_unique<LocalRateLimiter>(
        this->limits.back().limits, this->Clock(daemon),
        this->options.limiter_policy);
    const RateSlotLeaseManager::SlotRange range{
        daemon.domain * this->options.slots_per_domain,
        this->options.slots_per_domain};
    daemon.lender_selector = LenderSelector();
    daemon.lease_manager = std::make_unique<RateSlotLeaseManager>(
        daemon.host, daemon.incarnation, range, this->options.lease_policy);
  }

  /// Runs an event after a delay, independent of any daemon.
  void Schedule(common::Duration delay, std::function<void()> event) {
    this->events.emplace(this->real_time + delay, std::move(event));
  }

  /// Delivers an event to the current run of a daemon. While the daemon is
  /// paused, the event is deferred.
  void SendToDaemon(Daemon& daemon, common::Duration delay,
                    std::function<void(Daemon&)> event) {
    this->Schedule(delay, [&daemon, event = std::move(event),
                           incarnation = daemon.incarnation] {
      const auto handle = [&daemon, event, incarnation] {
        if (daemon.alive && daemon.incarnation == incarnation) {
          event(daemon);
        }
      };
      if (daemon.paused) {
        daemon.deferred_events.emplace_back(handle);
      } else {
        handle();
      }
    });
  }

  void Deliver(common::Duration until) {
    while (!this->events.empty() && this->events.begin()->first <= until) {
      auto node = this->events.extract(this->events.begin());
      this->real_time = std::max(this->real_time, node.key());
      node.mapped()();
    }
  }

  void PublishHosts() {
    this->Schedule(kHostListLag, [this] {
      std::vector<std::set<common::HostId>> live(this->options.domains);
      for (const auto& daemon : this->daemons) {
        if (daemon->alive && !daemon->draining) {
          live[daemon->domain].insert(daemon->host);
        }
      }
      for (const auto& daemon : this->daemons) {
        daemon->lease_manager->SetHosts(live[daemon->domain]);
      }
    });
  }

  void UpdateOutdatedLimits() {
    std::size_t oldest = this->limits.size();
    for (const auto& daemon : this->daemons) {
      oldest = std::min(oldest, daemon->known_limits);
    }
    for (std::size_t version = 1; version < oldest; ++version) {
      common::Duration& until = this->limits[version - 1].until;
      until = std::min(until, this->real_time + std::chrono::seconds(6));
    }
  }

  bool ReachesStore(const Daemon& daemon) const {
    return this->store_up && !daemon.store_cut;
  }

  void PerformActions(Daemon& daemon, const SlotActions& actions) {
    for (const SlotAction& action : actions) {
      const common::SteadyTime now = this->Clock(daemon);
      std::visit(
          common::Overloaded{
              [&](const ReadSlots&) { this->Read(daemon); },
              [&](const UpdateSlots& update) { this->Update(daemon, update); },
              [&](const UseSlot& use) {
                daemon.limiter->AddSlot(use.slot, use.lease_end, now);
              },
              [&](const ExtendSlot& extend) {
                daemon.limiter->RenewSlot(extend.slot, extend.lease_end, now);
              },
              [&](const StopSlot& stop) {
                daemon.limiter->RemoveSlot(stop.slot, now);
              }},
          action);
    }
  }

  void Read(Daemon& daemon) {
    const common::SteadyTime sent = this->Clock(daemon);
    if (!this->ReachesStore(daemon)) {
      this->SendToDaemon(daemon, kCallTimeout, [this](Daemon& reader) {
        this->PerformActions(
            reader, reader.lease_manager->OnReadFailed(this->Clock(reader)));
      });
      return;
    }
    const Store seen = this->stores[daemon.domain];
    this->SendToDaemon(daemon, kLatency, [this, seen, sent](Daemon& reader) {
      this->PerformActions(
          reader, reader.lease_manager->OnRead(seen.version, seen.content, sent,
                                               this->Clock(reader)));
    });
  }

  void Update(Daemon& daemon, const UpdateSlots& update) {
    const auto lose_answer = [this, &daemon] {
      this->SendToDaemon(daemon, kCallTimeout, [this](Daemon& writer) {
        this->PerformActions(writer, writer.lease_manager->OnUpdateAnswerLost(
                                         this->Clock(writer)));
      });
    };
    if (!this->ReachesStore(daemon)) {
      lose_answer();
      return;
    }
    if (this->lost_answers > 0) {
      --this->lost_answers;
      lose_answer();
      this->Schedule(this->late_effect, [this, &daemon, update] {
        this->Apply(daemon.domain, update);
      });
      return;
    }
    const bool applied = this->Apply(daemon.domain, update);
    const ObjectVersion version = this->stores[daemon.domain].version;
    this->SendToDaemon(
        daemon, kLatency, [this, applied, version](Daemon& writer) {
          const common::SteadyTime now = this->Clock(writer);
          this->PerformActions(
              writer, applied ? writer.lease_manager->OnUpdated(version, now)
                              : writer.lease_manager->OnUpdateConflicted(now));
        });
  }

  bool Apply(std::uint32_t domain, const UpdateSlots& update) {
    Store& store = this->stores[domain];
    if (store.version != update.if_version) {
      return false;
    }
    ++store.version;
    store.content = update.content;
    return true;
  }

  Daemon* FindDaemon(const common::HostId& host) const {
    for (const auto& daemon : this->daemons) {
      if (daemon->host == host) {
        return daemon.get();
      }
    }
    return nullptr;
  }

  /// Requests loans from the other daemons in turn, whether they are alive or
  /// not.
  void RequestLoan(Daemon& daemon) {
    const common::SteadyTime before = this->Clock(daemon);
    const std::optional<BorrowRequest> request =
        daemon.limiter->NextBorrowRequest(before);
    if (!request || daemon.peers_cut) {
      return;
    }
    std::vector<common::HostId> peers;
    for (const auto& peer : this->daemons) {
      if (peer.get() != &daemon) {
        peers.push_back(peer->host);
      }
    }
    const std::optional<common::HostId> choice =
        daemon.lender_selector.Select(peers, before);
    if (!choice) {
      return;
    }
    Daemon* lender = this->FindDaemon(*choice);
    const LoanFault fault = std::exchange(this->loan_fault, LoanFault::kNone);
    if (lender->peers_cut || fault == LoanFault::kRequestLost) {
      return;
    }
    const common::Duration delay =
        fault == LoanFault::kAnswerDelayed ? this->loan_delay : kLatency;
    const auto lend = [this, &daemon, before, fault, delay,
                       wanted = request->wanted](Daemon& peer) {
      const RateLoan loan = peer.limiter->Lend(wanted, this->Clock(peer));
      const auto answer = [this, before, loan,
                           host = peer.host](Daemon& borrower) {
        const common::SteadyTime now = this->Clock(borrower);
        borrower.lender_selector.OnLoanReply(host, loan, now);
        borrower.limiter->AcceptLoan(before, loan, now);
      };
      if (fault != LoanFault::kAnswerLost) {
        this->SendToDaemon(daemon, delay, answer);
      }
      if (fault == LoanFault::kAnswerDuplicated) {
        this->SendToDaemon(daemon, delay + this->loan_delay, answer);
      }
    };
    this->SendToDaemon(*lender, kLatency, lend);
    if (fault == LoanFault::kRequestDuplicated) {
      this->SendToDaemon(*lender, this->loan_delay, lend);
    }
  }

  Options options;
  common::Duration real_time = common::Duration::zero();
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Store> stores;
  std::vector<LimitsInForce> limits;
  std::multimap<common::Duration, std::function<void()>> events;
  std::vector<common::Duration> admissions;
  bool store_up = true;
  int lost_answers = 0;
  common::Duration late_effect = common::Duration::zero();
  LoanFault loan_fault = LoanFault::kNone;
  common::Duration loan_delay = common::Duration::zero();
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATOR_H_
