#include "Connection/link_monitor.h"

#include <algorithm>
#include <utility>

namespace camphorferry::connection {

LinkNotUsableError::LinkNotUsableError(LinkId link)
    : Error("link " + std::to_string(link) + " may not carry a request"),
      link(link) {}

std::vector<LinkAction> LinkMonitor::Handle(const LinkEvent& event,
                                            common::SteadyTime now) {
  std::visit([this, now](const auto& typed) { this->On(typed, now); }, event);
  this->OpenProbeIfDue(now);
  return std::exchange(this->actions, {});
}

bool LinkMonitor::MayUse(LinkId link) const {
  const auto found = this->links.find(link);
  if (found == this->links.end()) return true;
  return !found->second.outstanding && !found->second.closing;
}

void LinkMonitor::On(const LinkSent& event, common::SteadyTime now) {
  if (!this->MayUse(event.link)) throw LinkNotUsableError(event.link);
  this->links[event.link].outstanding = Outstanding{event.request_id, now};
}

void LinkMonitor::On(const LinkAnswered& event, common::SteadyTime now) {
  const auto found = this->links.find(event.link);
  if (found == this->links.end() || found->second.closing) return;
  Link& link = found->second;
  this->down = false;
  if (!link.outstanding || link.outstanding->request_id != event.request_id) {
    // Answers no longer match requests on this link.
    this->Close(event.link, &link);
    return;
  }
  this->LearnLatency(now - link.outstanding->sent);
  link.outstanding.reset();
  link.last_answer = now;
}

void LinkMonitor::On(const LinkAbandoned& event, common::SteadyTime) {
  const auto found = this->links.find(event.link);
  if (found == this->links.end() || !found->second.outstanding) return;
  this->Close(event.link, &found->second);
}

void LinkMonitor::On(const LinkClosed& event, common::SteadyTime) {
  this->links.erase(event.link);
}

void LinkMonitor::On(const ProbeAnswered& event, common::SteadyTime) {
  // Even a late answer shows that the endpoint works.
  this->down = false;
  if (!this->probe || event.probe != this->probe->id) return;
  const common::SteadyTime opened = this->probe->opened;
  this->probe.reset();
  this->CloseSilentLinks(opened);
}

void LinkMonitor::On(const ProbeFailed& event, common::SteadyTime now) {
  if (!this->probe || event.probe != this->probe->id) return;
  this->FailProbe(now);
}

void LinkMonitor::On(const LinkTick&, common::SteadyTime now) {
  if (!this->probe || now < this->probe->opened + kProbeTimeout) return;
  this->FailProbe(now);
}

/// Closes the links that were silent when the probe was opened. Idle links
/// without an answer since the oldest silent request was sent have probably
/// gone silent with them and would leave the next request without an answer.
void LinkMonitor::CloseSilentLinks(common::SteadyTime probe_opened) {
  std::optional<common::SteadyTime> oldest;
  for (auto& [id, link] : this->links) {
    if (!this->IsSilent(link, probe_opened)) continue;
    const common::SteadyTime sent = link.outstanding->sent;
    oldest = std::min(oldest.value_or(sent), sent);
    this->Close(id, &link);
  }
  if (!oldest) return;
  // If these statements were only slow, the next ones get more time.
  this->LearnLatency(this->silence_limit);
  for (auto& [id, link] : this->links) {
    const bool idle = !link.outstanding && !link.closing;
    if (idle && link.last_answer <= oldest) this->Close(id, &link);
  }
}

void LinkMonitor::FailProbe(common::SteadyTime now) {
  this->probe.reset();
  this->probe_not_before = now + kProbeInterval;
  if (std::exchange(this->down, true)) return;
  this->actions.push_back(MarkEndpointDown{});
}

/// One probe at a time checks the endpoint for all its links. An endpoint that
/// is down is probed until it answers.
void LinkMonitor::OpenProbeIfDue(common::SteadyTime now) {
  if (this->probe || now < this->probe_not_before) return;
  const bool silent = std::any_of(this->links.begin(), this->links.end(),
                                  [this, now](const auto& entry) {
                                    return this->IsSilent(entry.second, now);
                                  });
  if (!silent && !this->down) return;
  this->probe = Probe{this->next_probe++, now};
  this->actions.push_back(OpenProbe{this->probe->id});
}

bool LinkMonitor::IsSilent(const Link& link, common::SteadyTime now) const {
  if (link.closing || !link.outstanding) return false;
  return now - link.outstanding->sent >= this->silence_limit;
}

void LinkMonitor::LearnLatency(common::Duration latency) {
  constexpr int kDecay = 16;
  this->slowest = std::max(latency, this->slowest - this->slowest / kDecay);
  this->silence_limit =
      std::clamp(2 * this->slowest, kSilenceLimit, kMaxSilenceLimit);
}

void LinkMonitor::Close(LinkId id, Link* link) {
  if (std::exchange(link->closing, true)) return;
  this->actions.push_back(CloseLink{id});
}

}  // namespace camphorferry::connection
