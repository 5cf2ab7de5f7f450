#include "Process/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// How often expired requests and silent connections are looked for.
constexpr std::chrono::milliseconds kTickInterval(20);
/// Connections beyond the slots, so that a statement is ready when a slot
/// becomes free.
constexpr std::size_t kSpareConnections = 2;
/// An owner uses at most this part of an endpoint's connections, so that a
/// second daemon that also takes itself for the owner can still connect.
constexpr std::size_t kConnectionShare = 4;
constexpr std::uint32_t kStatementCost = 1;

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

connection::StatementReply Unreachable() {
  return {request::NotRun{request::NotRunReason::kEndpointUnreachable,
                          std::nullopt},
          0};
}

}  // namespace

EndpointPool::EndpointPool(connection::EventLoop* loop,
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
  this->tick = loop->Every(kTickInterval, [this] { this->OnTick(); });
}

EndpointPool::~EndpointPool() { *this->alive = false; }

void EndpointPool::Execute(connection::StatementCall call, Callback done) {
  if (this->monitor.IsDown()) {
    done(Unreachable());
    return;
  }
  const common::WorkspaceId workspace = call.workspace;
  const std::uint32_t weight = call.weight;
  const common::SteadyTime deadline = call.deadline;
  Queue::PushResult pushed = this->queue.Push(
      workspace, weight, deadline, kStatementCost,
      Pending{std::move(call), std::move(done)}, common::SteadyNow());
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

void EndpointPool::Confirm(common::LogPosition position,
                           common::SteadyTime deadline,
                           ConfirmBatcher::Callback done) {
  this->confirms.Add(position, deadline, std::move(done));
}

bool EndpointPool::Idle() const {
  return this->running == 0 && !this->queue.EarliestDeadline().has_value();
}

void EndpointPool::Pump() {
  while (Lane* lane = this->FreeLane()) {
    std::optional<Pending> pending = this->PopReady();
    if (!pending) return;
    this->Run(lane, std::move(*pending));
  }
}

std::optional<EndpointPool::Pending> EndpointPool::PopReady() {
  while (true) {
    Queue::PopResult popped = this->queue.Pop(common::SteadyNow());
    if (auto* ready = std::get_if<Queue::Ready>(&popped)) {
      return std::move(ready->item);
    }
    if (std::holds_alternative<Queue::Empty>(popped)) return std::nullopt;
    auto& shed = std::get<Queue::Shed>(popped);
    this->counters->Add("endpoint_deadline_passed");
    shed.item.done({shed.outcome, 0});
  }
}

EndpointPool::Lane* EndpointPool::FreeLane() {
  for (const auto& lane : this->lanes) {
    if (!lane->done && this->monitor.MayUse(lane->id)) return lane.get();
  }
  if (this->lanes.size() >= this->max_lanes) return nullptr;
  auto lane = std::make_unique<Lane>();
  lane->id = this->next_link++;
  lane->link =
      std::make_unique<connection::HttpEndpointLink>(this->loop, this->address);
  this->counters->Add("endpoint_connections_opened");
  this->lanes.push_back(std::move(lane));
  return this->lanes.back().get();
}

EndpointPool::Lane* EndpointPool::FindLane(connection::LinkId id) {
  const auto found =
      std::find_if(this->lanes.begin(), this->lanes.end(),
                   [id](const auto& lane) { return lane->id == id; });
  return found == this->lanes.end() ? nullptr : found->get();
}

void EndpointPool::Run(Lane* lane, Pending pending) {
  ++this->running;
  lane->started = common::SteadyNow();
  lane->done = std::move(pending.done);
  const std::string request_id = pending.call.request_id;
  this->Handle(connection::LinkSent{lane->id, request_id});
  lane->link->Execute(pending.call, pending.call.deadline - lane->started,
                      [this, id = lane->id, request_id, alive = this->alive](
                          const connection::StatementReply& reply) {
                        if (*alive) this->OnReply(id, request_id, reply);
                      });
}

void EndpointPool::OnReply(connection::LinkId id, const std::string& request_id,
                           const connection::StatementReply& reply) {
  Lane* lane = this->FindLane(id);
  if (lane == nullptr) return;
  const bool lost = IsLost(reply);
  const bool usable = lane->link->Usable();
  // The statement ends first, because the monitor may ask to close the lane.
  this->End(lane, reply);
  if (lost) {
    this->Handle(connection::LinkAbandoned{id});
  } else {
    this->Handle(connection::LinkAnswered{id, request_id});
  }
  if (!usable) this->RemoveLane(id);
  this->Pump();
}

void EndpointPool::End(Lane* lane, const connection::StatementReply& reply) {
  --this->running;
  this->queue.Completed(common::SteadyNow() - lane->started);
  const Callback done = std::exchange(lane->done, nullptr);
  this->observer(IsLost(reply) ? nullptr : &reply);
  done(reply);
}

void EndpointPool::OnTick() {
  while (auto shed = this->queue.PopExpired(common::SteadyNow())) {
    this->counters->Add("endpoint_deadline_passed");
    shed->item.done({shed->outcome, 0});
  }
  this->Handle(connection::LinkTick{});
  this->Pump();
}

void EndpointPool::Handle(const connection::LinkEvent& event) {
  for (const connection::LinkAction& action :
       this->monitor.Handle(event, common::SteadyNow())) {
    std::visit([this](const auto& typed) { this->Perform(typed); }, action);
  }
}

void EndpointPool::Perform(const connection::OpenProbe& action) {
  this->counters->Add("endpoint_probes");
  const auto link =
      std::make_shared<connection::HttpEndpointLink>(this->loop, this->address);
  link->Status(
      connection::kProbeTimeout,
      [this, action, link, alive = this->alive](
          const connection::ControlResult<connection::EndpointStatus>& result) {
        if (!*alive) return;
        if (std::holds_alternative<connection::EndpointStatus>(result)) {
          this->Handle(connection::ProbeAnswered{action.probe});
        } else {
          this->Handle(connection::ProbeFailed{action.probe});
        }
      });
}

void EndpointPool::Perform(const connection::CloseLink& action) {
  Lane* lane = this->FindLane(action.link);
  if (lane == nullptr) return;
  this->events->Record(common::WallNow(), common::Subsystem::kConnection,
                       "endpoint_connection_closed",
                       {{"endpoint", this->endpoint.id}});
  if (lane->done) {
    // The request was sent, so it may have run.
    this->End(lane,
              {request::Unknown{request::UnknownReason::kConnectionLost}, 0});
  }
  this->RemoveLane(action.link);
}

void EndpointPool::Perform(const connection::MarkEndpointDown& /*action*/) {
  this->events->Record(common::WallNow(), common::Subsystem::kConnection,
                       "endpoint_down", {{"endpoint", this->endpoint.id}});
  this->observer(nullptr);
  this->RefuseAll();
}

void EndpointPool::RefuseAll() {
  while (std::optional<Pending> pending = this->PopReady()) {
    this->queue.Completed(common::Duration::zero());
    pending->done(Unreachable());
  }
}

void EndpointPool::RemoveLane(connection::LinkId id) {
  if (this->FindLane(id) == nullptr) return;
  std::erase_if(this->lanes, [id](const std::unique_ptr<Lane>& lane) {
    return lane->id == id;
  });
  this->Handle(connection::LinkClosed{id});
}

}  // namespace camphorferry::process
