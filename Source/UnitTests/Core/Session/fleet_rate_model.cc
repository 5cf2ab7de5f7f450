#include "fleet_rate_model.h"

#include <algorithm>
#include <utility>

namespace camphorferry::session {

namespace {

using std::chrono::milliseconds;

constexpr common::SteadyTime kStart{std::chrono::hours(1)};
constexpr RateTolerance kTolerance{0.1, 20};
constexpr std::chrono::seconds kWindow(5);
constexpr milliseconds kTick(100);
constexpr milliseconds kExchangeTimeout(400);
constexpr milliseconds kAdmissionTimeout(250);
constexpr std::size_t kMinAssumedFleetSize = 8;
const common::WorkspaceId kWorkspace("w");

common::HostId IdOf(std::size_t index) {
  return common::HostId("h" + std::to_string(index));
}

std::size_t IndexOf(const common::HostId& id) {
  return std::stoul(id.Value().substr(1));
}

}  // namespace

struct FleetRateModel::Daemon {
  explicit Daemon(HostLocation location) : membership(std::move(location)) {}

  std::uint64_t process = 0;
  FleetMembership membership;
  WorkspaceLimiter limiter;
  AdmissionQueue queue;
  /// Operations that wait in the queue.
  std::uint32_t waiting = 0;
  /// Knows of other daemons, or that there are none.
  bool fleet_known = false;
  bool listed = false;
  /// The owner that has replied last.
  std::optional<std::size_t> last_owner;
};

FleetRateModel::FleetRateModel(Options options)
    : options(std::move(options)),
      random(this->options.seed),
      now(kStart),
      daemons(this->options.domain_of.size()) {
  this->Heal();
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    this->Start(index, true);
  }
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    this->Tick(index, this->daemons[index]->process);
    this->ScheduleOperation(index);
  }
}

FleetRateModel::~FleetRateModel() = default;

double FleetRateModel::Allowed() const {
  const double nominal = this->options.rate.rate * common::ToSeconds(kWindow) +
                         this->options.rate.burst;
  return nominal * (1 + kTolerance.share) + kTolerance.operations;
}

std::size_t FleetRateModel::OwnerIndex() const {
  std::vector<common::HostId> ids;
  for (std::size_t index = 0; index < this->daemons.size(); ++index) {
    ids.push_back(IdOf(index));
  }
  const auto owner = common::RendezvousFirst(kWorkspace.Value(), ids);
  return static_cast<std::size_t>(std::find(ids.begin(), ids.end(), *owner) -
                                  ids.begin());
}

void FleetRateModel::At(common::Duration delay, std::function<void()> event) {
  this->events.emplace(this->now + delay, std::move(event));
}

common::Duration FleetRateModel::Latency() {
  return std::chrono::microseconds(
      std::uniform_int_distribution<int>(300, 6000)(this->random));
}

void FleetRateModel::RunUntil(common::Duration end) {
  while (!this->events.empty() && this->events.begin()->first <= kStart + end) {
    auto next = this->events.extract(this->events.begin());
    this->now = next.key();
    next.mapped()();
  }
  this->now = kStart + end;
}

void FleetRateModel::Cut(std::vector<std::optional<int>> new_parts) {
  this->parts = std::move(new_parts);
}

void FleetRateModel::Heal() { this->parts.assign(this->daemons.size(), 0); }

bool FleetRateModel::Reaches(std::size_t from, std::size_t to) const {
  return from == to || (this->parts[from].has_value() &&
                        this->parts[from] == this->parts[to]);
}

FleetHost FleetRateModel::HostOf(std::size_t index) const {
  FleetHost host;
  host.id = IdOf(index);
  host.peer_address = "10.0.0." + std::to_string(index) + ":1";
  host.domain = this->options.domain_of[index];
  return host;
}

void FleetRateModel::Restart(std::size_t daemon, bool reaches_directory) {
  this->Start(daemon, reaches_directory);
  this->Tick(daemon, this->processes);
}

void FleetRateModel::Start(std::size_t index, bool reaches_directory) {
  HostLocation location;
  location.host = IdOf(index);
  location.domain = this->HostOf(index).domain;
  auto daemon = std::make_unique<Daemon>(location);
  daemon->process = ++this->processes;
  daemon->limiter.SetTolerance(kTolerance);
  daemon->limiter.SetFleet({kMinAssumedFleetSize, 1}, this->now);
  daemon->limiter.SetRates({{kWorkspace, this->options.rate}}, this->now);
  daemon->listed = daemon->fleet_known = reaches_directory;
  if (reaches_directory) {
    for (std::size_t other = 0; other < this->daemons.size(); ++other) {
      if (other == index) continue;
      daemon->membership.Add(this->HostOf(other), this->now);
    }
  }
  this->daemons[index] = std::move(daemon);
}

void FleetRateModel::Call(std::size_t from, std::size_t to,
                          common::Duration timeout,
                          std::function<void()> at_receiver,
                          std::function<void(bool)> done) {
  const auto guarded = [this, from, process = this->daemons[from]->process,
                        done = std::move(done)](bool arrived) {
    if (this->daemons[from]->process == process) done(arrived);
  };
  if (!this->Reaches(from, to)) {
    this->At(timeout, [guarded] { guarded(false); });
    return;
  }
  this->At(this->Latency(), [this, from, to, timeout, guarded,
                             receiver = this->daemons[to]->process,
                             at_receiver = std::move(at_receiver)] {
    const bool received = this->daemons[to]->process == receiver;
    if (received) at_receiver();
    if (!received || !this->Reaches(to, from)) {
      this->At(timeout, [guarded] { guarded(false); });
      return;
    }
    this->At(this->Latency(), [guarded] { guarded(true); });
  });
}

void FleetRateModel::Tick(std::size_t index, std::uint64_t process) {
  Daemon& daemon = *this->daemons[index];
  if (daemon.process != process) return;
  daemon.membership.RemoveLost(this->now);
  const auto report = [this](std::size_t from, std::size_t to) {
    const FleetMembership& sender = this->daemons[from]->membership;
    FleetMembership& receiver = this->daemons[to]->membership;
    receiver.OnReply(IdOf(from), this->now);
    receiver.SetSeen(IdOf(from), sender.SeenSize(this->now),
                     sender.SeesDomainMissing(this->now));
  };
  for (const FleetHost& peer : daemon.membership.TakeDuePeers(this->now)) {
    const std::size_t to = IndexOf(peer.id);
    this->Call(
        index, to, kExchangeTimeout,
        [this, index, to, report] {
          Daemon& receiver = *this->daemons[to];
          receiver.membership.Add(this->HostOf(index), this->now);
          receiver.fleet_known = true;
          report(index, to);
        },
        [this, index, to, id = peer.id, report](bool arrived) {
          if (arrived) {
            report(to, index);
          } else {
            this->daemons[index]->membership.OnNoReply(id, this->now);
          }
        });
  }
  this->ReportChanges(index);
  const auto jitter = std::uniform_int_distribution<int>(-2, 8)(this->random);
  this->At(kTick + milliseconds(jitter),
           [this, index, process] { this->Tick(index, process); });
}

void FleetRateModel::ReportChanges(std::size_t index) {
  Daemon& daemon = *this->daemons[index];
  const FleetMembership& membership = daemon.membership;
  daemon.limiter.SetOwned(
      kWorkspace, !daemon.membership.RateOwnerOf(kWorkspace).has_value(),
      this->now);
  FleetView view{membership.RecentSize(this->now),
                 membership.HeardCount(this->now),
                 membership.HearsFailureDomain(this->now),
                 membership.MissesFailureDomain(this->now)};
  if (!daemon.listed) view.size = std::max(view.size, kMinAssumedFleetSize);
  daemon.limiter.SetFleet(view, this->now);
}

void FleetRateModel::ScheduleOperation(std::size_t index) {
  const double rate = this->options.usual[index] * this->load;
  std::exponential_distribution<double> interval(std::max(rate, 0.001));
  this->At(common::FromSeconds(std::min(interval(this->random), 1.0)),
           [this, index, rate] {
             if (rate > 0) this->OnOperation(index);
             this->ScheduleOperation(index);
           });
}

std::string FleetRateModel::DescribeWindow() const {
  std::map<std::string, std::size_t> counts;
  for (const Admission& admission : this->admitted) {
    const std::string daemon = IdOf(admission.daemon).Value();
    const bool alone = !admission.owner.has_value();
    ++counts[daemon +
             (alone ? " alone" : " by " + IdOf(*admission.owner).Value())];
  }
  std::string text;
  for (const auto& [source, count] : counts) {
    text += source + ": " + std::to_string(count) + "; ";
  }
  return text;
}

void FleetRateModel::CountAdmitted(std::size_t count, std::size_t index,
                                   const std::optional<std::size_t>& owner) {
  for (std::size_t added = 0; added < count; ++added) {
    this->admitted.push_back({this->now, index, owner});
  }
  while (!this->admitted.empty() &&
         this->now - this->admitted.front().at > kWindow) {
    this->admitted.pop_front();
  }
  if (this->admitted.size() <= this->most) return;
  this->most = this->admitted.size();
  this->most_at = this->now - kStart;
  const bool exceeded = static_cast<double>(this->most) > this->Allowed();
  if (exceeded && this->excess.empty()) this->excess = this->DescribeWindow();
}

void FleetRateModel::OnOperation(std::size_t index) {
  ++this->offered;
  Daemon& daemon = *this->daemons[index];
  const AdmissionQueue::Step step = daemon.queue.OnOperation(this->now);
  if (std::holds_alternative<AdmissionQueue::Refuse>(step)) {
    ++this->refused;
  } else if (const auto* ask = std::get_if<AdmissionQueue::Ask>(&step)) {
    this->Ask(index, ask->operations);
  } else {
    ++daemon.waiting;
  }
}

FleetRateModel::Reply FleetRateModel::AdmitAt(std::size_t index,
                                              const AdmissionRequest& request) {
  Daemon& daemon = *this->daemons[index];
  if (!daemon.limiter.MayAdmit()) return std::nullopt;
  return daemon.limiter.Admit(request, this->now);
}

void FleetRateModel::Ask(std::size_t index, std::uint32_t operations) {
  Daemon& daemon = *this->daemons[index];
  daemon.waiting = 0;
  AdmissionRequest request =
      daemon.limiter.MakeRequest(kWorkspace, operations, this->now);
  const std::uint32_t alone = request.admitted_alone;
  if (!daemon.fleet_known) {
    this->OnReply(index, operations, alone, std::nullopt, std::nullopt);
    return;
  }
  const auto owner = daemon.membership.RateOwnerOf(kWorkspace);
  const std::size_t to = owner.has_value() ? IndexOf(owner->id) : index;
  request.requester = IdOf(index);
  request.changed_owner = daemon.last_owner.value_or(to) != to;
  if (to == index) {
    this->OnReply(index, operations, alone, to, this->AdmitAt(to, request));
    return;
  }
  const auto reply = std::make_shared<Reply>();
  this->Call(
      index, to, kAdmissionTimeout,
      [this, to, request, reply] {
        this->daemons[to]->membership.OnReply(request.requester, this->now);
        *reply = this->AdmitAt(to, request);
      },
      [this, index, to, operations, alone, reply, id = IdOf(to)](bool arrived) {
        FleetMembership& own = this->daemons[index]->membership;
        if (arrived) {
          own.OnReply(id, this->now);
        } else {
          own.OnNoReply(id, this->now);
        }
        this->OnReply(index, operations, alone, to,
                      arrived ? *reply : std::nullopt);
      });
}

void FleetRateModel::OnReply(std::size_t index, std::uint32_t operations,
                             std::uint32_t alone,
                             const std::optional<std::size_t>& owner,
                             const Reply& reply) {
  Daemon& daemon = *this->daemons[index];
  daemon.queue.OnReply(reply, this->now);
  if (reply.has_value()) {
    daemon.last_owner = owner;
    daemon.limiter.OnOwnerReplied(kWorkspace, *reply, this->now);
    this->CountAdmitted(reply->admitted, index, owner);
    this->refused += operations - reply->admitted;
  } else {
    daemon.limiter.ReturnAdmittedAlone(kWorkspace, alone);
    for (std::uint32_t count = 0; count < operations; ++count) {
      if (daemon.limiter.AdmitLocally(kWorkspace, this->now).has_value()) {
        ++this->refused;
      } else {
        this->CountAdmitted(1, index, std::nullopt);
      }
    }
  }
  const AdmissionQueue::Step step = daemon.queue.OnWaiting(this->now);
  if (const auto* ask = std::get_if<AdmissionQueue::Ask>(&step)) {
    this->Ask(index, ask->operations);
  } else if (std::holds_alternative<AdmissionQueue::Refuse>(step)) {
    this->refused += std::exchange(daemon.waiting, 0U);
  }
}

}  // namespace camphorferry::session
