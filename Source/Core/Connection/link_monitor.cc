#include "Connection/link_monitor.h"

#include <algorithm>
#include <utility>

namespace camphorferry::connection {

LinkNotUsableError::LinkNotUsableError(LinkId link)
    : Error("link " + std::to_string(link) +
            " is closed or has a pending request"),
      link(link) {}

std::vector<LinkAction> LinkMonitor::Handle(const LinkEvent& event,
                                            common::SteadyTime now) {
  std::visit([this, now](const auto& typed) { this->On(typed, now); }, event);
  this->OpenProbeIfDue(now);
  return std::exchange(this->actions, {});
}

bool LinkMonitor::CanSend(LinkId link) const {
  const auto found = this->links.find(link);
  if (found == this->links.end()) return true;
  return !found->second.pending && !found->second.closing;
}

void LinkMonitor::On(const LinkRequestSent& event, common::SteadyTime now) {
  if (!this->CanSend(event.link)) throw LinkNotUsableError(event.link);
  this->links[event.link].pending = PendingRequest{event.request_id, now};
}

void LinkMonitor::On(const LinkResponseReceived& event,
                     common::SteadyTime now) {
  const auto found = this->links.find(event.link);
  if (found == this->links.end() || found->second.closing) return;
  Link& link = found->second;
  this->down = false;
  if (!link.pending || link.pending->request_id != event.request_id) {
    // The responses on this link no longer match the requests.
    this->Close(event.link, &link);
    return;
  }
  this->UpdateSuspicionTimeout(now - link.pending->sent);
  link.pending.reset();
  link.last_response = now;
}

void LinkMonitor::On(const LinkRequestAbandoned& event, common::SteadyTime) {
  const auto found = this->links.find(event.link);
  if (found == this->links.end() || !found->second.pending) return;
  this->Close(event.link, &found->second);
}

void LinkMonitor::On(const LinkClosed& event, common::SteadyTime) {
  this->links.erase(event.link);
}

void LinkMonitor::On(const ProbeAnswered& event, common::SteadyTime) {
  // Even a late response shows that the endpoint is up.
  this->down = false;
  if (!this->probe || event.probe != this->probe->id) return;
  const common::SteadyTime opened = this->probe->opened;
  this->probe.reset();
  this->CloseUnresponsiveLinks(opened);
}

void LinkMonitor::On(const ProbeFailed& event, common::SteadyTime now) {
  if (!this->probe || event.probe != this->probe->id) return;
  this->OnProbeFailure(now);
}

void LinkMonitor::On(const LinkTick&, common::SteadyTime now) {
  if (!this->probe || now < this->probe->opened + kProbeTimeout) return;
  this->OnProbeFailure(now);
}

/// Closes the links that were unresponsive when the probe was opened. Idle
/// links without a response since the oldest of the unanswered requests was
/// sent have probably failed as well, and the next request on them would get no
/// response.
void LinkMonitor::CloseUnresponsiveLinks(common::SteadyTime probe_opened) {
  std::optional<common::SteadyTime> oldest;
  for (auto& [id, link] : this->links) {
    if (!this->IsUnresponsive(link, probe_opened)) continue;
    const common::SteadyTime sent = link.pending->sent;
    oldest = std::min(oldest.value_or(sent), sent);
    this->Close(id, &link);
  }
  if (!oldest) return;
  // These statements may only have been slow, so the next ones get more time.
  this->UpdateSuspicionTimeout(this->suspicion_timeout);
  for (auto& [id, link] : this->links) {
    const bool idle = !link.pending && !link.closing;
    if (idle && link.last_response <= oldest) this->Close(id, &link);
  }
}

void LinkMonitor::OnProbeFailure(common::SteadyTime now) {
  this->probe.reset();
  this->next_probe_time = now + kProbeInterval;
  if (std::exchange(this->down, true)) return;
  this->actions.push_back(MarkEndpointDown{});
}

/// At most one probe at a time checks the endpoint on behalf of all its links.
/// An endpoint that is down is probed until it responds.
void LinkMonitor::OpenProbeIfDue(common::SteadyTime now) {
  if (this->probe || now < this->next_probe_time) return;
  const bool unresponsive = std::any_of(
      this->links.begin(), this->links.end(), [this, now](const auto& entry) {
        return this->IsUnresponsive(entry.second, now);
      });
  if (!unresponsive && !this->down) return;
  this->probe = Probe{this->next_probe_id++, now};
  this->actions.push_back(OpenProbe{this->probe->id});
}

bool LinkMonitor::IsUnresponsive(const Link& link,
                                 common::SteadyTime now) const {
  if (link.closing || !link.pending) return false;
  return now - link.pending->sent >= this->suspicion_timeout;
}

void LinkMonitor::UpdateSuspicionTimeout(common::Duration latency) {
  constexpr int kDecay = 16;
  this->peak_latency =
      std::max(latency, this->peak_latency - this->peak_latency / kDecay);
  this->suspicion_timeout = std::clamp(
      2 * this->peak_latency, kMinSuspicionTimeout, kMaxSuspicionTimeout);
}

void LinkMonitor::Close(LinkId id, Link* link) {
  if (std::exchange(link->closing, true)) return;
  this->actions.push_back(CloseLink{id});
}

}  // namespace camphorferry::connection
