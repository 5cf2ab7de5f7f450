#include "Process/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// Interval of the check for expired requests and unresponsive connections.
constexpr std::chrono::milliseconds kTickInterval(20);
/// Connections in addition to the slots, so that a statement can start as soon
/// as a slot becomes free.
constexpr std::size_t kSpareConnections = 2;
/// An owner uses at most 1 / kConnectionShareDivisor of an endpoint's
/// connections, so that a second daemon that also considers itself the owner
/// can still connect.
constexpr std::size_t kConnectionShareDivisor = 4;
constexpr std::uint32_t kStatementCost = 1;

std::size_t MaxConnections(const version::Service& service) {
  const std::size_t wanted = service.slots + kSpareConnections;
  const std::size_t allowed = service.connections / kConnectionShareDivisor;
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
      max_connections(MaxConnections(service)),
      events(events),
      counters(counters),
      observer(std::move(observer)),
      queue(service.slots),
      confirm_batcher(loop, this->address) {
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
  if (auto* rejected = std::get_if<Queue::Refused>(&pushed)) {
    this->counters->Add("endpoint_queue_refused");
    rejected->item.done({rejected->outcome, 0});
    return;
  }
  auto& queued = std::get<Queue::Queued>(pushed);
  if (queued.evicted) {
    this->counters->Add("endpoint_queue_evicted");
    queued.evicted->item.done({queued.evicted->outcome, 0});
  }
  this->Dispatch();
}

void EndpointPool::Confirm(common::LogPosition position,
                           common::SteadyTime deadline,
                           ConfirmBatcher::Callback done) {
  this->confirm_batcher.Add(position, deadline, std::move(done));
}

bool EndpointPool::Idle() const {
  return this->running_statements == 0 &&
         !this->queue.EarliestDeadline().has_value();
}

void EndpointPool::Dispatch() {
  while (PooledConnection* pooled = this->AcquireConnection()) {
    std::optional<Pending> pending = this->PopReady();
    if (!pending) return;
    this->ExecuteOn(pooled, std::move(*pending));
  }
}

std::optional<EndpointPool::Pending> EndpointPool::PopReady() {
  while (true) {
    Queue::PopResult popped = this->queue.Pop(common::SteadyNow());
    if (auto* ready = std::get_if<Queue::Ready>(&popped)) {
      return std::move(ready->item);
    }
    if (std::holds_alternative<Queue::Empty>(popped)) return std::nullopt;
    auto& expired = std::get<Queue::Shed>(popped);
    this->counters->Add("endpoint_deadline_passed");
    expired.item.done({expired.outcome, 0});
  }
}

EndpointPool::PooledConnection* EndpointPool::AcquireConnection() {
  for (const auto& pooled : this->connections) {
    if (!pooled->done && this->monitor.CanSend(pooled->id)) return pooled.get();
  }
  if (this->connections.size() >= this->max_connections) return nullptr;
  auto pooled = std::make_unique<PooledConnection>();
  pooled->id = this->next_link_id++;
  pooled->link =
      std::make_unique<connection::HttpEndpointLink>(this->loop, this->address);
  this->counters->Add("endpoint_connections_opened");
  this->connections.push_back(std::move(pooled));
  return this->connections.back().get();
}

EndpointPool::PooledConnection* EndpointPool::FindConnection(
    connection::LinkId id) {
  const auto found =
      std::find_if(this->connections.begin(), this->connections.end(),
                   [id](const auto& pooled) { return pooled->id == id; });
  return found == this->connections.end() ? nullptr : found->get();
}

void EndpointPool::ExecuteOn(PooledConnection* pooled, Pending pending) {
  ++this->running_statements;
  pooled->started = common::SteadyNow();
  pooled->done = std::move(pending.done);
  const std::string request_id = pending.call.request_id;
  this->Handle(connection::LinkRequestSent{pooled->id, request_id});
  pooled->link->Execute(
      pending.call, pending.call.deadline - pooled->started,
      [this, id = pooled->id, request_id,
       alive = this->alive](const connection::StatementReply& reply) {
        if (*alive) this->OnReply(id, request_id, reply);
      });
}

void EndpointPool::OnReply(connection::LinkId id, const std::string& request_id,
                           const connection::StatementReply& reply) {
  PooledConnection* pooled = this->FindConnection(id);
  if (pooled == nullptr) return;
  const bool lost = IsLost(reply);
  const bool usable = pooled->link->Usable();
  // The statement is finished first, because the monitor may ask to close the
  // connection.
  this->FinishStatement(pooled, reply);
  if (lost) {
    this->Handle(connection::LinkRequestAbandoned{id});
  } else {
    this->Handle(connection::LinkResponseReceived{id, request_id});
  }
  if (!usable) this->RemoveConnection(id);
  this->Dispatch();
}

void EndpointPool::FinishStatement(PooledConnection* pooled,
                                   const connection::StatementReply& reply) {
  --this->running_statements;
  this->queue.Completed(common::SteadyNow() - pooled->started);
  const Callback done = std::exchange(pooled->done, nullptr);
  this->observer(IsLost(reply) ? nullptr : &reply);
  done(reply);
}

void EndpointPool::OnTick() {
  while (auto expired = this->queue.PopExpired(common::SteadyNow())) {
    this->counters->Add("endpoint_deadline_passed");
    expired->item.done({expired->outcome, 0});
  }
  this->Handle(connection::LinkTick{});
  this->Dispatch();
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
  PooledConnection* pooled = this->FindConnection(action.link);
  if (pooled == nullptr) return;
  this->events->Record(common::WallNow(), common::Subsystem::kConnection,
                       "endpoint_connection_closed",
                       {{"endpoint", this->endpoint.id}});
  if (pooled->done) {
    // The request was sent, so it may have been executed.
    this->FinishStatement(
        pooled, {request::Unknown{request::UnknownReason::kConnectionLost}, 0});
  }
  this->RemoveConnection(action.link);
}

void EndpointPool::Perform(const connection::MarkEndpointDown& /*action*/) {
  this->events->Record(common::WallNow(), common::Subsystem::kConnection,
                       "endpoint_down", {{"endpoint", this->endpoint.id}});
  this->observer(nullptr);
  this->FailWaiting();
}

void EndpointPool::FailWaiting() {
  while (std::optional<Pending> pending = this->PopReady()) {
    this->queue.Completed(common::Duration::zero());
    pending->done(Unreachable());
  }
}

void EndpointPool::RemoveConnection(connection::LinkId id) {
  if (this->FindConnection(id) == nullptr) return;
  std::erase_if(this->connections,
                [id](const std::unique_ptr<PooledConnection>& pooled) {
                  return pooled->id == id;
                });
  this->Handle(connection::LinkClosed{id});
}

}  // namespace camphorferry::process
