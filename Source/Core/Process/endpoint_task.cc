#include "Process/endpoint_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// How often expired requests are looked for.
constexpr std::chrono::milliseconds kTickInterval(20);
/// Connections beyond the slots, so that a statement is ready when a slot
/// becomes free.
constexpr std::size_t kSpareConnections = 2;
/// An owner uses at most this part of an endpoint's connections, so that a
/// second daemon that also takes itself for the owner can still connect.
constexpr std::size_t kConnectionShare = 4;
constexpr std::uint32_t kStatementCost = 1;

common::SteadyTime Now() { return std::chrono::steady_clock::now(); }

std::size_t MaxLanes(const version::Service& service) {
  const std::size_t wanted = service.slots + kSpareConnections;
  const std::size_t allowed = service.connections / kConnectionShare;
  return std::max<std::size_t>(1, std::min(wanted, allowed));
}

bool IsLost(const connection::StatementReply& reply) {
  if (std::holds_alternative<request::Unknown>(reply.outcome)) return true;
  const auto* not_run = std::get_if<request::NotRun>(&reply.outcome);
  return not_run != nullptr &&
         not_run->reason == request::NotRunReason::kEndpointUnreachable;
}

}  // namespace

EndpointTask::EndpointTask(connection::EventLoop* loop,
                           const version::Endpoint& endpoint,
                           const version::Service& service, EventLog* events,
                           Counters* counters, Observer observer)
    : loop(loop),
      endpoint(endpoint),
      address(connection::ParseSocketAddress(endpoint.address)),
      max_lanes(MaxLanes(service)),
      events(events),
      counters(counters),
      observer(std::move(observer)),
      queue(service.slots),
      confirms(loop, this->address) {
  this->tick = loop->Every(kTickInterval, [this] { this->ShedExpired(); });
}

void EndpointTask::Execute(connection::StatementCall call, Callback done) {
  const common::WorkspaceId workspace = call.workspace;
  const std::uint32_t weight = call.weight;
  const common::SteadyTime deadline = call.deadline;
  Queue::PushResult pushed =
      this->queue.Push(workspace, weight, deadline, kStatementCost,
                       Pending{std::move(call), std::move(done)}, Now());
  if (auto* refused = std::get_if<Queue::Refused>(&pushed)) {
    this->counters->Add("endpoint_queue_refused");
    refused->item.done({refused->outcome, 0});
    return;
  }
  auto& queued = std::get<Queue::Queued>(pushed);
  if (queued.evicted) {
    this->counters->Add("endpoint_queue_evicted");
    queued.evicted->item.done({queued.evicted->outcome, 0});
  }
  this->Pump();
}

void EndpointTask::Confirm(common::LogPosition position,
                           common::SteadyTime deadline,
                           ConfirmBatch::Callback done) {
  this->confirms.Add(position, deadline, std::move(done));
}

bool EndpointTask::Idle() const {
  return this->running == 0 && !this->queue.EarliestDeadline().has_value();
}

void EndpointTask::Pump() {
  while (Lane* lane = this->FreeLane()) {
    std::optional<Pending> pending = this->PopReady();
    if (!pending) return;
    this->Run(lane, std::move(*pending));
  }
}

std::optional<EndpointTask::Pending> EndpointTask::PopReady() {
  while (true) {
    Queue::PopResult popped = this->queue.Pop(Now());
    if (auto* ready = std::get_if<Queue::Ready>(&popped)) {
      return std::move(ready->item);
    }
    if (std::holds_alternative<Queue::Empty>(popped)) return std::nullopt;
    auto& shed = std::get<Queue::Shed>(popped);
    this->counters->Add("endpoint_deadline_passed");
    shed.item.done({shed.outcome, 0});
  }
}

EndpointTask::Lane* EndpointTask::FreeLane() {
  this->RemoveUnusable();
  for (const auto& lane : this->lanes) {
    if (!lane->link->Busy()) return lane.get();
  }
  if (this->lanes.size() >= this->max_lanes) return nullptr;
  auto lane = std::make_unique<Lane>();
  lane->link =
      std::make_unique<connection::HttpEndpointLink>(this->loop, this->address);
  this->counters->Add("endpoint_connections_opened");
  this->lanes.push_back(std::move(lane));
  return this->lanes.back().get();
}

void EndpointTask::Run(Lane* lane, Pending pending) {
  ++this->running;
  const common::SteadyTime started = Now();
  const common::Duration timeout = pending.call.deadline - started;
  lane->link->Execute(pending.call, timeout,
                      [this, started, done = std::move(pending.done)](
                          const connection::StatementReply& reply) {
                        this->OnReply(started, done, reply);
                      });
}

void EndpointTask::OnReply(common::SteadyTime started, const Callback& done,
                           const connection::StatementReply& reply) {
  --this->running;
  this->queue.Completed(Now() - started);
  this->observer(IsLost(reply) ? nullptr : &reply);
  done(reply);
  this->Pump();
}

void EndpointTask::ShedExpired() {
  while (auto shed = this->queue.PopExpired(Now())) {
    this->counters->Add("endpoint_deadline_passed");
    shed->item.done({shed->outcome, 0});
  }
  this->Pump();
}

void EndpointTask::RemoveUnusable() {
  std::erase_if(this->lanes, [](const std::unique_ptr<Lane>& lane) {
    return !lane->link->Busy() && !lane->link->Usable();
  });
}

}  // namespace camphorferry::process
