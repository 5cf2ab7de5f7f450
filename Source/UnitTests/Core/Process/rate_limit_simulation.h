#ifndef CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATION_H_
#define CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATION_H_

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

/// What happens to the messages of the next loan.
enum class LoanFault {
  kNone,
  kRequestLost,
  kRequestDuplicated,
  kAnswerLost,
  kAnswerDuplicated,
  kAnswerDelayed,
};

/// Daemons, a store and the network between them in virtual real time. Every
/// daemon sees that time through a clock with a rate of its own.
class RateLimitSimulation {
 public:
  struct Options {
    std::uint32_t domains = 1;
    std::uint32_t daemons_per_domain = 4;
    std::uint32_t slots_per_domain = 4;
    std::uint32_t rate = 40;
    std::uint32_t burst = 12;
    /// Error of each daemon's clock rate; missing ones are exact.
    std::vector<std::int64_t> clock_ppm;
    LocalRateLimiter::Policy share;
    RateSlotLeaseManager::Policy lease;
  };

  explicit RateLimitSimulation(const Options& options) : options(options) {
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

  /// Lets time pass; every daemon is ticked once per step.
  void Advance(
      common::Duration time, common::Duration step,
      const std::function<void()>& each_step = [] {}) {
    const common::Duration end = this->real + time;
    while (this->real < end) {
      const common::Duration next = std::min(this->real + step, end);
      this->Deliver(next);
      this->real = next;
      for (const auto& daemon : this->daemons) {
        if (daemon->alive && !daemon->paused) {
          this->CarryOut(*daemon, daemon->lease->Tick(this->Clock(*daemon)));
          this->AskForLoan(*daemon);
        }
      }
      each_step();
    }
  }

  /// Requests that arrive at a daemon at once.
  void Request(std::size_t index, int requests) {
    for (int request = 0; request < requests; ++request) {
      this->Ask(index, Attempt::kFirst);
    }
  }

  /// One request; true if it was admitted.
  bool Ask(std::size_t index, Attempt attempt) {
    Daemon& daemon = *this->daemons[index];
    if (!daemon.alive || daemon.paused || daemon.draining) {
      return false;
    }
    const Admission admission =
        daemon.share->Admit(this->Clock(daemon), attempt);
    const bool admitted = std::holds_alternative<Admitted>(admission);
    if (admitted) {
      this->admissions.push_back(this->real);
    }
    this->AskForLoan(daemon);
    return admitted;
  }

  void Pause(std::size_t index) { this->daemons[index]->paused = true; }

  void Resume(std::size_t index) {
    Daemon& daemon = *this->daemons[index];
    daemon.paused = false;
    for (auto& event : std::exchange(daemon.inbox, {})) {
      event();
    }
  }

  void Kill(std::size_t index) {
    Daemon& daemon = *this->daemons[index];
    daemon.alive = false;
    daemon.inbox.clear();
    daemon.learned = this->limits.size();
    this->NoteLearned();
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
    this->CarryOut(daemon, daemon.lease->Drain(this->Clock(daemon)));
    this->PublishHosts();
  }

  void SetStoreUp(bool up) { this->store_up = up; }
  void CutFromStore(std::size_t index, bool cut) {
    this->daemons[index]->store_cut = cut;
  }
  void CutFromPeers(std::size_t index, bool cut) {
    this->daemons[index]->peers_cut = cut;
  }
  /// The next updates take effect after this time, and their answers are lost.
  void LoseAnswers(int answers, common::Duration effect_after) {
    this->lost_answers = answers;
    this->late_effect = effect_after;
  }
  void FailNextLoan(LoanFault fault, common::Duration delay) {
    this->loan_fault = fault;
    this->loan_delay = delay;
  }

  /// New limits, which each daemon learns after a time of its own.
  void SetLimits(std::uint32_t rate, std::uint32_t burst,
                 common::Duration spread) {
    this->limits.push_back(
        {{rate, burst, this->limits[0].limits.total_slots}, this->real});
    const std::size_t version = this->limits.size();
    common::Duration delay = std::chrono::milliseconds(1);
    for (const auto& daemon : this->daemons) {
      delay += spread;
      this->Send(*daemon, delay, [this, version](Daemon& receiver) {
        if (receiver.learned < version) {
          receiver.learned = version;
          receiver.share->SetLimits(this->limits[version - 1].limits,
                                    this->Clock(receiver));
          this->NoteLearned();
        }
      });
    }
    this->NoteLearned();
  }

  std::size_t AdmittedCount() const { return this->admissions.size(); }

  /// Number of slots that a daemon uses now.
  std::size_t SlotsOf(std::size_t index) const {
    const Daemon& daemon = *this->daemons[index];
    return daemon.alive ? daemon.lease->HeldSlots(this->Clock(daemon)).size()
                        : 0;
  }

  /// Naive check of every window that begins and ends with an admission: no
  /// more than rate x window + burst, the larger of the limits that some daemon
  /// may use in the window. Returns the largest excess in requests.
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
    /// Number of limits that it knows, the latest being in force.
    std::size_t learned = 0;
    std::unique_ptr<LocalRateLimiter> share;
    std::unique_ptr<RateSlotLeaseManager> lease;
    /// Events that wait for the end of a pause.
    std::vector<std::function<void()>> inbox;
    LenderSelector lenders;
  };

  struct Store {
    ObjectVersion version = 0;
    std::string content;
  };

  struct LimitsInForce {
    RateLimits limits;
    common::Duration from;
    /// When the last daemon that knew nothing newer, and loans by it, ended.
    common::Duration until = common::Duration::max();
  };

  static constexpr common::Duration kLatency = std::chrono::milliseconds(2);
  static constexpr common::Duration kCallTimeout = std::chrono::seconds(1);
  static constexpr common::Duration kHostListLag = std::chrono::seconds(10);

  common::SteadyTime Clock(const Daemon& daemon) const {
    const common::Duration error = this->real / 1'000'000 * daemon.clock_ppm;
    return common::SteadyTime(std::chrono::hours(1) + this->real + error);
  }

  void Start(Daemon& daemon) {
    ++daemon.incarnation;
    daemon.alive = true;
    daemon.paused = false;
    daemon.draining = false;
    daemon.learned = this->limits.size();
    daemon.share = std::make_unique<LocalRateLimiter>(
        this->limits.back().limits, this->Clock(daemon), this->options.share);
    const RateSlotLeaseManager::SlotRange range{
        daemon.domain * this->options.slots_per_domain,
        this->options.slots_per_domain};
    daemon.lenders = LenderSelector();
    daemon.lease = std::make_unique<RateSlotLeaseManager>(
        daemon.host, daemon.incarnation, range, this->options.lease);
  }

  /// Runs something after a delay, whoever lives then.
  void Schedule(common::Duration delay, std::function<void()> event) {
    this->events.emplace(this->real + delay, std::move(event));
  }

  /// Delivers an event to the present incarnation of a daemon; while it is
  /// paused the event waits.
  void Send(Daemon& daemon, common::Duration delay,
            std::function<void(Daemon&)> event) {
    this->Schedule(delay, [&daemon, event = std::move(event),
                           incarnation = daemon.incarnation] {
      const auto handle = [&daemon, event, incarnation] {
        if (daemon.alive && daemon.incarnation == incarnation) {
          event(daemon);
        }
      };
      if (daemon.paused) {
        daemon.inbox.emplace_back(handle);
      } else {
        handle();
      }
    });
  }

  void Deliver(common::Duration until) {
    while (!this->events.empty() && this->events.begin()->first <= until) {
      auto node = this->events.extract(this->events.begin());
      this->real = std::max(this->real, node.key());
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
        daemon->lease->SetHosts(live[daemon->domain]);
      }
    });
  }

  void NoteLearned() {
    std::size_t oldest = this->limits.size();
    for (const auto& daemon : this->daemons) {
      oldest = std::min(oldest, daemon->learned);
    }
    for (std::size_t version = 1; version < oldest; ++version) {
      common::Duration& until = this->limits[version - 1].until;
      until = std::min(until, this->real + std::chrono::seconds(6));
    }
  }

  bool ReachesStore(const Daemon& daemon) const {
    return this->store_up && !daemon.store_cut;
  }

  void CarryOut(Daemon& daemon, const SlotActions& actions) {
    for (const SlotAction& action : actions) {
      const common::SteadyTime now = this->Clock(daemon);
      std::visit(
          common::Overloaded{
              [&](const ReadSlots&) { this->Read(daemon); },
              [&](const UpdateSlots& update) { this->Update(daemon, update); },
              [&](const UseSlot& use) {
                daemon.share->AddSlot(use.slot, use.lease_end, now);
              },
              [&](const ExtendSlot& extend) {
                daemon.share->RenewSlot(extend.slot, extend.lease_end, now);
              },
              [&](const StopSlot& stop) {
                daemon.share->RemoveSlot(stop.slot, now);
              }},
          action);
    }
  }

  void Read(Daemon& daemon) {
    const common::SteadyTime sent = this->Clock(daemon);
    if (!this->ReachesStore(daemon)) {
      this->Send(daemon, kCallTimeout, [this](Daemon& reader) {
        this->CarryOut(reader, reader.lease->OnReadFailed(this->Clock(reader)));
      });
      return;
    }
    const Store seen = this->stores[daemon.domain];
    this->Send(daemon, kLatency, [this, seen, sent](Daemon& reader) {
      this->CarryOut(reader, reader.lease->OnRead(seen.version, seen.content,
                                                  sent, this->Clock(reader)));
    });
  }

  void Update(Daemon& daemon, const UpdateSlots& update) {
    const auto lose_answer = [this, &daemon] {
      this->Send(daemon, kCallTimeout, [this](Daemon& writer) {
        this->CarryOut(writer,
                       writer.lease->OnUpdateAnswerLost(this->Clock(writer)));
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
    this->Send(daemon, kLatency, [this, applied, version](Daemon& writer) {
      const common::SteadyTime now = this->Clock(writer);
      this->CarryOut(writer, applied ? writer.lease->OnUpdated(version, now)
                                     : writer.lease->OnUpdateConflicted(now));
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

  /// Asks the other daemons in turn, whether they live or not.
  void AskForLoan(Daemon& daemon) {
    const common::SteadyTime before = this->Clock(daemon);
    const std::optional<BorrowRequest> request =
        daemon.share->NextBorrowRequest(before);
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
        daemon.lenders.Next(peers, before);
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
      const RateLoan loan = peer.share->Lend(wanted, this->Clock(peer));
      const auto answer = [this, before, loan,
                           host = peer.host](Daemon& borrower) {
        const common::SteadyTime now = this->Clock(borrower);
        borrower.lenders.OnAnswer(host, loan, now);
        borrower.share->AcceptLoan(before, loan, now);
      };
      if (fault != LoanFault::kAnswerLost) {
        this->Send(daemon, delay, answer);
      }
      if (fault == LoanFault::kAnswerDuplicated) {
        this->Send(daemon, delay + this->loan_delay, answer);
      }
    };
    this->Send(*lender, kLatency, lend);
    if (fault == LoanFault::kRequestDuplicated) {
      this->Send(*lender, this->loan_delay, lend);
    }
  }

  Options options;
  common::Duration real = common::Duration::zero();
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

#endif  // CAMPHORFERRY_UNIT_TESTS_PROCESS_RATE_LIMIT_SIMULATION_H_
