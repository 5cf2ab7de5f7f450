#include "Session/closing_task.h"

#include <set>
#include <utility>

#include "Session/promotion_evidence.h"

namespace camphorferry::session {

namespace {

using common::LogLevel;
using common::Subsystem;

/// Interval at which it is checked whether daemons that don't answer have to be
/// waited for.
constexpr std::chrono::milliseconds kCheckInterval(20);
/// Pause before a daemon that gave no answer is asked again.
constexpr std::chrono::milliseconds kRetryPause(50);

}  // namespace

ClosingTask::ClosingTask(GroupContext context, common::ServiceId service)
    : context(std::move(context)), service(std::move(service)) {}

ClosingTask::~ClosingTask() {
  *this->alive = false;
  this->Cancel();
}

void ClosingTask::Cancel() {
  const std::shared_ptr<Closing> dropped = std::exchange(this->current, {});
  if (dropped == nullptr || dropped->timer == nullptr) return;
  // The timer may be the caller.
  this->context.loop->Post([timer = std::shared_ptr<connection::Timer>(
                                std::move(dropped->timer))] {});
}

void ClosingTask::Close(
    common::Term below,
    std::function<void(const std::optional<TermsClosed>&)> done) {
  this->Cancel();
  const auto closing = std::make_shared<Closing>();
  closing->started = common::SteadyNow();
  closing->done = std::move(done);
  this->current = closing;
  this->context.promotion_lease->CloseTerm(
      this->service, below,
      [this, still_alive = this->alive,
       closing](const std::optional<ClosedTerm>& entry) {
        if (!*still_alive || this->current != closing) return;
        if (!entry.has_value()) {
          this->End(closing, std::nullopt);
          return;
        }
        closing->written = common::SteadyNow();
        closing->request = {this->service, *entry};
        this->AskAll(closing);
      });
}

void ClosingTask::AskAll(const std::shared_ptr<Closing>& closing) {
  this->context.closing.list_hosts(
      [this, still_alive = this->alive,
       closing](const std::optional<std::vector<FleetHost>>& listed) {
        if (!*still_alive || this->current != closing) return;
        if (!listed.has_value()) {
          this->End(closing, std::nullopt);
          return;
        }
        this->hosts = *listed;
        const common::HostId& own = this->context.location.host;
        std::set<common::HostId> ids{own};
        for (const FleetHost& host : this->hosts) ids.insert(host.id);
        closing->poll.emplace(closing->request.closed, ids, closing->written);
        closing->poll->OnReply(
            own, this->context.closing.close_here(closing->request),
            common::SteadyNow());
        for (const FleetHost& host : this->hosts) this->Ask(closing, host);
        closing->timer = this->context.loop->Every(
            kCheckInterval, [this, weak = std::weak_ptr<Closing>(closing)] {
              if (const auto kept = weak.lock()) this->Check(kept);
            });
        this->Check(closing);
      });
}

void ClosingTask::Ask(const std::shared_ptr<Closing>& closing,
                      const FleetHost& host) {
  const common::SteadyTime sent = common::SteadyNow();
  this->context.closing.close_at(
      host, closing->request,
      [this, still_alive = this->alive, closing, host,
       sent](const ClosingAnswer& answer) {
        if (!*still_alive || this->current != closing) return;
        std::visit(common::Overloaded{
                       [&](const CloseTermReply& reply) {
                         closing->poll->OnReply(host.id, reply, sent);
                         this->Check(closing);
                       },
                       [&](const HostRefuses& /*refuses*/) {
                         closing->poll->OnEnded(host.id);
                         this->Check(closing);
                       },
                       [&](const HostSilent& /*silent*/) {
                         this->context.loop->RunLater(
                             kRetryPause, [this, still_alive, closing, host] {
                               if (!*still_alive) return;
                               if (this->current != closing) return;
                               this->Ask(closing, host);
                             });
                       },
                   },
                   answer);
      });
}

void ClosingTask::Check(const std::shared_ptr<Closing>& closing) {
  if (this->current != closing) return;
  const common::SteadyTime now = common::SteadyNow();
  if (!closing->poll->IsDone(now)) return;
  const TermsClosed result = closing->poll->Result(now);
  std::set<std::string> silent;
  for (const common::HostId& host : closing->poll->Unanswered()) {
    silent.insert(host.Value());
  }
  const common::Duration taken = now - closing->started;
  common::Log(
      Subsystem::kConnection, LogLevel::kWarning, "terms_closed",
      {{"service", this->service},
       {"below", result.below},
       {"acknowledged_term", result.acknowledged.term},
       {"acknowledged_index", result.acknowledged.index},
       {"end_term", result.acknowledged_end.term},
       {"end_index", result.acknowledged_end.index},
       {"leader", result.primary.has_value() ? result.primary->endpoint
                                             : common::EndpointId()},
       {"leader_term", result.primary.has_value() ? result.primary->term : 0},
       {"silent",
        JoinForLog(std::vector<std::string>(silent.begin(), silent.end()))},
       {"after_ms", common::ToMilliseconds(taken).count()}});
  this->context.metrics->Observe(
      "term_closing_seconds",
      "Time until no daemon acknowledges commits of an earlier term any more.",
      "daemons", silent.empty() ? "answered" : "waited_for", taken);
  // Daemons that know of it may end before the next promotion.
  this->context.promotion_lease->NoteAcknowledged(this->service,
                                                  result.acknowledged);
  this->End(closing, result);
}

void ClosingTask::End(const std::shared_ptr<Closing>& closing,
                      const std::optional<TermsClosed>& result) {
  this->Cancel();
  closing->done(result);
}

void ClosingTask::Open(common::Term below) {
  this->Cancel();
  this->context.promotion_lease->OpenTerm(
      this->service, below,
      [this,
       still_alive = this->alive](const std::optional<ClosedTerm>& entry) {
        if (!*still_alive) return;
        common::Log(Subsystem::kConnection, LogLevel::kWarning, "terms_opened",
                    {{"service", this->service},
                     {"from", entry.has_value() ? entry->below : 0},
                     {"written", entry.has_value() ? "yes" : "no"}});
        if (!entry.has_value()) return;
        const CloseTermRequest request{this->service, *entry};
        this->context.closing.close_here(request);
        for (const FleetHost& host : this->hosts) {
          this->context.closing.close_at(
              host, request, [](const ClosingAnswer& /*answer*/) {});
        }
      });
}

}  // namespace camphorferry::session
