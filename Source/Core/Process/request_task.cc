#include "Process/request_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// Maximum time that a request waits for a rate limit token before it is
/// rejected.
constexpr std::chrono::milliseconds kMaxTokenWait(500);
constexpr std::chrono::milliseconds kMinTokenWait(1);
constexpr std::chrono::milliseconds kTokenCheckInterval(20);

}  // namespace

RequestTask::RequestTask(RequestContext* context, request::RequestRecord record,
                         std::string key, Callback done)
    : context(context),
      record(std::move(record)),
      key(std::move(key)),
      done(std::move(done)),
      configuration(context->configuration) {}

void RequestTask::Start() {
  const std::optional<request::NotRunReason> refusal = this->Validate();
  if (refusal) {
    this->Finish(request::NotRun{*refusal, std::nullopt});
    return;
  }
  this->token_deadline =
      std::min(this->record.deadline, common::SteadyNow() + kMaxTokenWait);
  this->AcquireToken(Attempt::kFirst);
}

void RequestTask::Run() {
  this->PrepareCall();
  this->Budget().RequestStarted();
  this->SendAttempt();
}

std::optional<request::NotRunReason> RequestTask::Validate() {
  using request::NotRunReason;
  if (this->configuration == nullptr) return NotRunReason::kNoConfiguration;
  const auto route = this->configuration->routes.find(this->record.route);
  if (route == this->configuration->routes.end()) {
    return NotRunReason::kUnknownRoute;
  }
  this->service_id = route->second.service;
  const auto declared = this->configuration->services.find(this->service_id);
  if (declared == this->configuration->services.end()) {
    return NotRunReason::kUnknownRoute;
  }
  this->service = &declared->second;
  if (const auto refusal = this->Authenticate(route->second)) return refusal;
  return this->ReadSession();
}

std::optional<request::NotRunReason> RequestTask::Authenticate(
    const version::Route& route) {
  using request::NotRunReason;
  if (this->key.empty()) {
    if (!route.open) return NotRunReason::kMissingKey;
    this->workspace = common::WorkspaceId(kOpenRouteWorkspace);
    return std::nullopt;
  }
  const auto key_owner = this->context->keys->WorkspaceOf(this->key);
  if (!key_owner) return NotRunReason::kUnknownKey;
  this->workspace = *key_owner;
  this->weight = this->configuration->workspaces.at(*key_owner).weight;
  const bool allowed = route.open || route.workspaces.contains(*key_owner);
  if (!allowed) return NotRunReason::kRouteForbidden;
  return std::nullopt;
}

std::optional<request::NotRunReason> RequestTask::ReadSession() {
  try {
    this->session = this->record.session.empty()
                        ? request::SessionToken(this->workspace)
                        : request::SessionToken::Decode(
                              this->record.session,
                              this->context->session_secrets, this->workspace);
    // A service that does not fit into the session token must be rejected
    // before the request is executed.
    this->session->Advance(this->service_id, common::LogPosition{});
  } catch (const request::BadSessionTokenError&) {
    return request::NotRunReason::kBadSessionToken;
  } catch (const request::SessionTooWideError&) {
    return request::NotRunReason::kSessionTooWide;
  }
  return std::nullopt;
}

void RequestTask::AcquireToken(Attempt attempt) {
  const bool limited =
      this->configuration->workspaces.contains(this->workspace);
  if (!limited) {
    this->Run();
    return;
  }
  const Admission admission =
      this->context->rates->Admit(this->workspace, attempt);
  const auto* refused = std::get_if<Refused>(&admission);
  if (refused == nullptr) {
    this->Run();
    return;
  }
  // A rate loan from another daemon arrives within the wait, so a request
  // within the workspace's rate is not rejected merely because it reached a
  // daemon whose share is used up.
  const common::Duration wait = std::clamp<common::Duration>(
      refused->retry_after, kMinTokenWait, kTokenCheckInterval);
  if (common::SteadyNow() + wait >= this->token_deadline) {
    this->Finish(request::NotRun{request::NotRunReason::kRateExceeded,
                                 refused->retry_after});
    return;
  }
  this->context->loop->RunLater(wait, [self = this->shared_from_this()] {
    self->AcquireToken(Attempt::kRetry);
  });
}

void RequestTask::PrepareCall() {
  this->call.request_id = this->record.request_id;
  this->call.workspace = this->workspace;
  this->call.weight = this->weight;
  this->call.service = this->service_id;
  this->call.is_write =
      this->record.request_class != request::RequestClass::kRead;
  this->call.operations =
      request::OperationsToJson(this->record.operations).dump();
  this->call.deadline = this->record.deadline;
  if (this->record.idempotency_key) {
    this->call.idempotency_key = this->record.idempotency_key->Text();
    this->call.idempotency_digest = this->record.operations_digest;
  }
  this->call.max_age = this->record.max_age;
  this->call.min_position = this->session->PositionOf(this->service_id);
  this->policy.emplace(this->record.request_class, this->record.deadline);
}

request::RetryBudget& RequestTask::Budget() {
  return this->context->retry_budgets
      .try_emplace(this->record.route, common::SteadyNow())
      .first->second;
}

void RequestTask::SendAttempt() {
  if (this->call.is_write) {
    this->ChooseWriteEndpoint();
  } else {
    this->ChooseReadEndpoint();
  }
  this->context->router->Execute(
      this->call,
      [self = this->shared_from_this()](
          const connection::StatementReply& reply) { self->OnReply(reply); });
}

void RequestTask::ChooseWriteEndpoint() {
  const connection::PrimaryHint primary =
      this->context->primaries->Find(this->service_id);
  this->call.term = primary.term;
  if (!primary.endpoint.Empty()) {
    this->call.endpoint = primary.endpoint;
    return;
  }
  // The owner of any of the endpoints knows the primary or waits until there is
  // one.
  const auto& endpoints = this->service->endpoints;
  this->call.endpoint =
      endpoints[this->next_write_endpoint++ % endpoints.size()].id;
}

void RequestTask::ChooseReadEndpoint() {
  const bool all_tried = this->next_candidate >= this->candidates.size();
  if (all_tried) this->RefreshReadCandidates();
  const request::ReadCandidate& candidate =
      this->candidates[this->next_candidate++];
  this->call.endpoint = candidate.endpoint;
  this->call.wait = candidate.wait;
}

void RequestTask::RefreshReadCandidates() {
  const connection::PrimaryHint primary =
      this->context->primaries->Find(this->service_id);
  std::vector<request::ReadEndpoint> endpoints;
  for (const version::Endpoint& endpoint : this->service->endpoints) {
    endpoints.push_back(this->DescribeEndpoint(endpoint, primary));
  }
  const request::ReadRequirement requirement{this->call.min_position,
                                             this->call.max_age};
  const request::ReadRouter reads(this->Location());
  const std::uint64_t rotation = this->context->random();
  this->candidates =
      reads.Candidates(endpoints, requirement, rotation, common::SteadyNow());
  this->next_candidate = 0;
  if (!this->candidates.empty()) return;
  // No endpoint is considered reachable. Trying them all is cheaper than
  // rejecting the request.
  for (request::ReadEndpoint& endpoint : endpoints) endpoint.reachable = true;
  this->candidates =
      reads.Candidates(endpoints, requirement, rotation, common::SteadyNow());
}

request::DaemonLocation RequestTask::Location() const {
  request::DaemonLocation location;
  location.domain = this->context->own_domain;
  const auto domain = this->configuration->domains.find(location.domain);
  if (domain != this->configuration->domains.end()) {
    location.region = domain->second.region;
  }
  return location;
}

request::ReadEndpoint RequestTask::DescribeEndpoint(
    const version::Endpoint& endpoint,
    const connection::PrimaryHint& primary) const {
  request::ReadEndpoint result;
  result.id = endpoint.id;
  result.domain = endpoint.domain;
  const auto domain = this->configuration->domains.find(endpoint.domain);
  if (domain != this->configuration->domains.end()) {
    result.region = domain->second.region;
  }
  result.role = endpoint.id == primary.endpoint
                    ? request::EndpointRole::kPrimary
                    : request::EndpointRole::kReplica;
  const EndpointDirectory::Entry& entry =
      this->context->endpoints.Find(endpoint.id);
  result.position = entry.position;
  result.position_updated_at = entry.updated_at;
  result.reachable = entry.avoid_until <= common::SteadyNow();
  return result;
}

void RequestTask::OnReply(const connection::StatementReply& reply) {
  this->UpdateDirectories(reply);
  const double jitter =
      std::uniform_real_distribution<>(0, 1)(this->context->random);
  request::RetryDecision decision = this->policy->Decide(
      reply.outcome, common::SteadyNow(), jitter, this->Budget());
  if (const auto* retry = std::get_if<request::RetryAfter>(&decision)) {
    this->context->counters->Add("request_retries");
    this->context->loop->RunLater(
        retry->delay,
        [self = this->shared_from_this()] { self->SendAttempt(); });
    return;
  }
  this->Finish(std::move(std::get<request::Report>(decision).outcome));
}

void RequestTask::UpdateDirectories(const connection::StatementReply& reply) {
  this->context->endpoints.Update(this->call.endpoint, reply,
                                  common::SteadyNow());
  if (!reply.primary.endpoint.Empty()) {
    this->context->primaries->Update(this->service_id, reply.primary);
    return;
  }
  // Without a hint the owner itself may have failed; the next attempt asks
  // another owner.
  const bool done = std::holds_alternative<request::Done>(reply.outcome);
  if (this->call.is_write && !done) {
    this->context->primaries->Invalidate(
        this->service_id, {this->call.endpoint, this->call.term});
  }
}

void RequestTask::Finish(request::Outcome outcome) {
  RequestAnswer answer;
  const auto* ended = std::get_if<request::Done>(&outcome);
  if (ended != nullptr) {
    this->session->Advance(this->service_id, ended->position);
    if (this->session->Workspace() == this->workspace) {
      answer.session = this->session->Encode(this->context->session_secrets);
    }
  }
  answer.outcome = std::move(outcome);
  this->done(std::move(answer));
}

}  // namespace camphorferry::process
