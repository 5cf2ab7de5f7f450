#include "Process/endpoint_owner.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// Maximum time that a write waits at the owner for a promotion in progress.
constexpr std::chrono::seconds kMaxPromotionWait(3);
constexpr std::chrono::milliseconds kPromotionCheckInterval(20);

connection::StatementReply NotRun(request::NotRunReason reason,
                                  const connection::PrimaryHint& hint) {
  return {request::NotRun{reason, std::nullopt}, hint.term, hint};
}

bool NeedsAcknowledgement(const connection::StatementCall& call,
                          const connection::StatementReply& reply) {
  const auto* done = std::get_if<request::Done>(&reply.outcome);
  return done != nullptr && (call.is_write || done->served_by_primary);
}

}  // namespace

EndpointOwner::EndpointOwner(connection::EventLoop* loop, EventLog* events,
                             Counters* counters, PrimaryDirectory* directory,
                             std::string incarnation,
                             ConfirmRouter confirm_router)
    : loop(loop),
      events(events),
      counters(counters),
      directory(directory),
      incarnation(std::move(incarnation)),
      confirm_router(std::move(confirm_router)) {}

void EndpointOwner::SetConfiguration(
    version::ConfigurationPointer configuration) {
  const version::ConfigurationPointer old =
      std::exchange(this->configuration, std::move(configuration));
  if (old == nullptr) return;
  for (const auto& [id, service] : old->services) {
    const auto kept = this->configuration->services.find(id);
    if (kept != this->configuration->services.end() &&
        kept->second == service) {
      continue;
    }
    // The pools of a changed service are recreated on their next use.
    for (const version::Endpoint& endpoint : service.endpoints) {
      const auto pool = this->pools.extract(endpoint.id);
      if (!pool.empty()) this->DestroyLater(std::move(pool.mapped()));
    }
    const auto failover = this->failovers.extract(id);
    if (!failover.empty()) this->DestroyLater(std::move(failover.mapped()));
  }
}

void EndpointOwner::SetOwnership(
    const std::map<common::ServiceId, ServiceOwnership>& ownership) {
  for (auto entry = this->failovers.begin(); entry != this->failovers.end();) {
    if (ownership.contains(entry->first)) {
      ++entry;
      continue;
    }
    this->DestroyLater(std::move(entry->second));
    entry = this->failovers.erase(entry);
  }
  for (const auto& [service, owned] : ownership) {
    const auto declared = this->configuration->services.find(service);
    if (declared == this->configuration->services.end()) continue;
    std::unique_ptr<FailoverTask>& task = this->failovers[service];
    if (task != nullptr) {
      task->SetRank(owned.rank);
      continue;
    }
    const std::string proposer =
        this->incarnation + "." + std::to_string(this->next_coordinator++);
    task = std::make_unique<FailoverTask>(this->loop, service, declared->second,
                                          proposer, owned.rank, this->events,
                                          this->directory);
  }
}

void EndpointOwner::Execute(connection::StatementCall call,
                            EndpointPool::Callback done) {
  ++this->active_statements;
  EndpointPool::Callback counting_done =
      [this, service = call.service,
       done = std::move(done)](connection::StatementReply reply) {
        --this->active_statements;
        if (reply.primary.endpoint.Empty()) {
          const FailoverTask* failover = this->FailoverOf(service);
          if (failover != nullptr) reply.primary = failover->Primary();
        }
        done(std::move(reply));
      };
  if (!call.is_write) {
    this->Run(std::move(call), std::move(counting_done));
    return;
  }
  const common::SteadyTime promotion_deadline =
      std::min(call.deadline, common::SteadyNow() + kMaxPromotionWait);
  this->ExecuteWrite(std::move(call), promotion_deadline,
                     std::move(counting_done));
}

void EndpointOwner::ExecuteWrite(connection::StatementCall call,
                                 common::SteadyTime promotion_deadline,
                                 EndpointPool::Callback done) {
  const FailoverTask* failover = this->FailoverOf(call.service);
  if (failover == nullptr) {
    this->Run(std::move(call), std::move(done));
    return;
  }
  const connection::PrimaryHint primary = failover->Primary();
  if (primary.endpoint.Empty()) {
    if (common::SteadyNow() >= promotion_deadline) {
      done(NotRun(request::NotRunReason::kNoPrimary, primary));
      return;
    }
    // Nothing has been sent, so waiting here for the promotion costs no retry.
    this->loop->RunLater(kPromotionCheckInterval,
                         [this, call = std::move(call), promotion_deadline,
                          done = std::move(done)]() mutable {
                           this->ExecuteWrite(std::move(call),
                                              promotion_deadline,
                                              std::move(done));
                         });
    return;
  }
  if (primary.endpoint != call.endpoint) {
    done(NotRun(request::NotRunReason::kNotPrimary, primary));
    return;
  }
  if (!failover->HasNonSuspectReplica()) {
    // Without a replica that confirms, the outcome could only be unknown.
    done(NotRun(request::NotRunReason::kNoPrimary, primary));
    return;
  }
  call.term = primary.term;
  this->Run(std::move(call), std::move(done));
}

void EndpointOwner::Run(connection::StatementCall call,
                        EndpointPool::Callback done) {
  EndpointPool* pool = this->PoolOf(call.endpoint);
  if (pool == nullptr) {
    done(NotRun(request::NotRunReason::kEndpointUnreachable, {}));
    return;
  }
  const connection::StatementCall sent = call;
  pool->Execute(std::move(call), [this, sent, done = std::move(done)](
                                     connection::StatementReply reply) {
    if (NeedsAcknowledgement(sent, reply)) {
      this->AwaitAcknowledgement(sent, std::move(reply), done);
      return;
    }
    done(std::move(reply));
  });
}

void EndpointOwner::AwaitAcknowledgement(const connection::StatementCall& call,
                                         connection::StatementReply reply,
                                         EndpointPool::Callback done) {
  const auto service = this->configuration->services.find(call.service);
  std::vector<common::EndpointId> replicas;
  if (service != this->configuration->services.end()) {
    for (const version::Endpoint& endpoint : service->second.endpoints) {
      if (endpoint.id != call.endpoint) replicas.push_back(endpoint.id);
    }
  }
  const ExecutedStatement statement{
      call.endpoint, reply.term,
      std::get<request::Done>(reply.outcome).position};
  const auto task = std::make_shared<AcknowledgementTask>(
      this->loop, statement, replicas, call.deadline, this->confirm_router,
      [this, is_write = call.is_write, reply = std::move(reply),
       done = std::move(done)](bool acknowledged) mutable {
        if (acknowledged) {
          done(std::move(reply));
          return;
        }
        this->counters->Add("statements_not_confirmed");
        if (is_write) {
          reply.outcome =
              request::Unknown{request::UnknownReason::kNotConfirmed};
        } else {
          // An unconfirmed read changed nothing and may be repeated.
          reply.outcome =
              request::NotRun{request::NotRunReason::kNoPrimary, std::nullopt};
        }
        done(std::move(reply));
      });
  task->Start();
}

void EndpointOwner::Confirm(const common::EndpointId& endpoint,
                            common::LogPosition position, common::Duration wait,
                            ConfirmBatcher::Callback done) {
  EndpointPool* pool = this->PoolOf(endpoint);
  if (pool == nullptr) {
    done(connection::ConfirmReply{});
    return;
  }
  pool->Confirm(position, common::SteadyNow() + wait, std::move(done));
}

bool EndpointOwner::Idle() const { return this->active_statements == 0; }

EndpointPool* EndpointOwner::PoolOf(const common::EndpointId& endpoint) {
  const auto found = this->pools.find(endpoint);
  if (found != this->pools.end()) return found->second.get();
  if (this->configuration == nullptr) return nullptr;
  for (const auto& [service_id, service] : this->configuration->services) {
    for (const version::Endpoint& declared : service.endpoints) {
      if (declared.id != endpoint) continue;
      auto pool = std::make_unique<EndpointPool>(
          this->loop, declared, service, this->events, this->counters,
          [this, service_id = service_id,
           endpoint](const connection::StatementReply* reply) {
            FailoverTask* failover = this->FailoverOf(service_id);
            if (failover != nullptr) failover->ObserveReply(endpoint, reply);
          });
      return (this->pools[endpoint] = std::move(pool)).get();
    }
  }
  return nullptr;
}

FailoverTask* EndpointOwner::FailoverOf(const common::ServiceId& service) {
  const auto found = this->failovers.find(service);
  return found == this->failovers.end() ? nullptr : found->second.get();
}

void EndpointOwner::DestroyLater(std::unique_ptr<EndpointPool> pool) {
  // Statements that run in the pool have to finish first.
  constexpr std::chrono::seconds kLongestStatement(30);
  this->loop->RunLater(
      kLongestStatement,
      [pool = std::shared_ptr<EndpointPool>(std::move(pool))] {});
}

void EndpointOwner::DestroyLater(std::unique_ptr<FailoverTask> task) {
  // This may be called from within one of the task's own callbacks.
  this->loop->Post([task = std::shared_ptr<FailoverTask>(std::move(task))] {});
}

}  // namespace camphorferry::process
