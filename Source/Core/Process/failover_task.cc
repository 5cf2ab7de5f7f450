#include "Process/failover_task.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorferry::process {

namespace {

constexpr std::chrono::milliseconds kTickInterval(50);
/// Timeout of fence, promote and follow calls.
constexpr std::chrono::milliseconds kControlTimeout(500);

std::vector<common::EndpointId> EndpointIds(const version::Service& service) {
  std::vector<common::EndpointId> ids;
  for (const version::Endpoint& endpoint : service.endpoints) {
    ids.push_back(endpoint.id);
  }
  return ids;
}

EndpointStatus ToCoordinatorStatus(const connection::EndpointStatus& status) {
  return {status.term, status.fence, status.role, status.position};
}

FailureKind ToFailureKind(connection::ControlFailure failure) {
  return failure == connection::ControlFailure::kRefused
             ? FailureKind::kRefused
             : FailureKind::kTimedOut;
}

}  // namespace

FailoverTask::FailoverTask(connection::EventLoop* loop,
                           common::ServiceId service_id,
                           const version::Service& declared,
                           const std::string& proposer, std::size_t rank,
                           EventLog* events, PrimaryDirectory* directory)
    : loop(loop),
      service_id(std::move(service_id)),
      events(events),
      directory(directory),
      coordinator(EndpointIds(declared), proposer, rank) {
  for (const version::Endpoint& endpoint : declared.endpoints) {
    this->members[endpoint.id].address =
        connection::ParseSocketAddress(endpoint.address);
  }
  this->tick =
      loop->Every(kTickInterval, [this] { this->Handle(FailoverTick{}); });
  this->Handle(FailoverTick{});
}

FailoverTask::~FailoverTask() { *this->alive = false; }

void FailoverTask::SetRank(std::size_t rank) {
  this->coordinator.SetRank(rank);
}

void FailoverTask::ObserveReply(const common::EndpointId& endpoint,
                                const connection::StatementReply* reply) {
  if (reply == nullptr) {
    this->Handle(StatusFailed{endpoint, std::nullopt, FailureKind::kTimedOut});
    return;
  }
  const auto* done = std::get_if<request::Done>(&reply->outcome);
  if (done == nullptr) return;
  // A statement reply carries the same information as a poll, which is then
  // unnecessary. It does not contain the fence, but a database that executed
  // the statement is not fenced above its term.
  const request::EndpointRole role = done->served_by_primary
                                         ? request::EndpointRole::kPrimary
                                         : request::EndpointRole::kReplica;
  this->Handle(StatusReceived{
      endpoint, std::nullopt,
      EndpointStatus{reply->term, reply->term, role, done->position}});
}

connection::PrimaryHint FailoverTask::Primary() const {
  const std::optional<KnownPrimary> primary = this->coordinator.Primary();
  if (!primary || this->coordinator.IsSuspect(primary->endpoint)) return {};
  return {primary->endpoint, primary->term};
}

bool FailoverTask::HasNonSuspectReplica() const {
  const connection::PrimaryHint primary = this->Primary();
  return std::any_of(this->members.begin(), this->members.end(),
                     [this, &primary](const auto& member) {
                       return member.first != primary.endpoint &&
                              !this->coordinator.IsSuspect(member.first);
                     });
}

void FailoverTask::Handle(const FailoverEvent& event) {
  const std::vector<FailoverAction> actions =
      this->coordinator.Handle(event, common::SteadyNow());
  for (const FailoverAction& action : actions) {
    std::visit([this](const auto& typed) { this->Perform(typed); }, action);
  }
}

template <typename Reply, typename Failed, typename Action>
std::function<void(const FailoverTask::AcceptedResult&)>
FailoverTask::ResultHandler(
    const Action& action,
    const std::shared_ptr<connection::HttpEndpointLink>& link) {
  return
      [this, action, link, alive = this->alive](const AcceptedResult& result) {
        if (!*alive) return;
        const auto* reply = std::get_if<connection::ControlAccepted>(&result);
        if (reply == nullptr) {
          this->Handle(Failed{action.endpoint, action.request});
          return;
        }
        this->Handle(Reply{action.endpoint, action.request, action.term,
                           reply->accepted});
      };
}

void FailoverTask::Perform(const SendStatusPoll& action) {
  Member& member = this->members.at(action.endpoint);
  const bool reusable = member.status_link != nullptr &&
                        member.status_link->Usable() &&
                        !member.status_link->Busy();
  if (action.new_connection || !reusable) {
    member.status_link = this->NewLink(action.endpoint);
  }
  member.status_link->Status(
      kStatusTimeout,
      [this, action, link = member.status_link, alive = this->alive](
          const connection::ControlResult<connection::EndpointStatus>& result) {
        if (!*alive) return;
        if (const auto* status =
                std::get_if<connection::EndpointStatus>(&result)) {
          this->Handle(StatusReceived{action.endpoint, action.request,
                                      ToCoordinatorStatus(*status)});
          return;
        }
        this->Handle(StatusFailed{
            action.endpoint, action.request,
            ToFailureKind(std::get<connection::ControlFailure>(result))});
      });
}

void FailoverTask::Perform(const SendFence& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "fence_sent",
                       {{"service", this->service_id},
                        {"endpoint", action.endpoint},
                        {"term", action.term}});
  const auto link = this->NewLink(action.endpoint);
  link->Fence(
      action.term, this->coordinator.Proposer(), kControlTimeout,
      [this, action, link, alive = this->alive](
          const connection::ControlResult<connection::FenceReply>& result) {
        if (!*alive) return;
        const auto* reply = std::get_if<connection::FenceReply>(&result);
        if (reply == nullptr) {
          this->Handle(FenceFailed{action.endpoint, action.request});
          return;
        }
        this->Handle(FenceReply{action.endpoint, action.request, reply->granted,
                                reply->fence, reply->proposer,
                                reply->position});
      });
}

void FailoverTask::Perform(const SendPromote& action) {
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "promote_sent",
                       {{"service", this->service_id},
                        {"endpoint", action.endpoint},
                        {"term", action.term}});
  const auto link = this->NewLink(action.endpoint);
  link->Promote(action.term, this->coordinator.Proposer(), kControlTimeout,
                this->ResultHandler<PromoteReply, PromoteFailed>(action, link));
}

void FailoverTask::Perform(const SendFollow& action) {
  const auto link = this->NewLink(action.endpoint);
  const std::string primary =
      connection::ToString(this->members.at(action.primary).address);
  link->Follow(action.term, this->coordinator.Proposer(), primary,
               kControlTimeout,
               this->ResultHandler<FollowReply, FollowFailed>(action, link));
}

void FailoverTask::Perform(const AnnouncePrimary& action) {
  const bool changed =
      this->directory->Update(this->service_id, {action.endpoint, action.term});
  if (!changed) return;
  this->events->Record(common::WallNow(), common::Subsystem::kProcess,
                       "primary_known",
                       {{"service", this->service_id},
                        {"endpoint", action.endpoint},
                        {"term", action.term}});
}

std::shared_ptr<connection::HttpEndpointLink> FailoverTask::NewLink(
    const common::EndpointId& endpoint) {
  return std::make_shared<connection::HttpEndpointLink>(
      this->loop, this->members.at(endpoint).address);
}

}  // namespace camphorferry::process
