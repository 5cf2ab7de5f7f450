#include "Process/request_task.h"

#include <algorithm>
#include <utility>

namespace camphorferry::process {

namespace {

/// How long a replica may wait for the session's position.
constexpr std::chrono::milliseconds kPositionWait(50);

common::SteadyTime Now() { return std::chrono::steady_clock::now(); }

}  // namespace

RequestTask::RequestTask(RequestContext* context, ClientStatement statement,
                         Callback done)
    : context(context),
      statement(std::move(statement)),
      done(std::move(done)),
      configuration(context->configuration) {}

void RequestTask::Start() {
  const std::optional<request::NotRunReason> refusal = this->Check();
  if (refusal) {
    this->Finish(request::NotRun{*refusal, this->retry_after});
    return;
  }
  this->PrepareCall();
  this->Budget().RequestStarted();
  this->Attempt();
}

std::optional<request::NotRunReason> RequestTask::Check() {
  using request::NotRunReason;
  if (this->configuration == nullptr) return NotRunReason::kNoConfiguration;
  const auto route = this->configuration->routes.find(this->statement.route);
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
  if (const auto refusal = this->ReadSession()) return refusal;
  return this->TakeToken();
}

std::optional<request::NotRunReason> RequestTask::Authenticate(
    const version::Route& route) {
  using request::NotRunReason;
  if (this->statement.key.empty()) {
    if (!route.open) return NotRunReason::kMissingKey;
    this->workspace = common::WorkspaceId(kOpenRouteWorkspace);
    return std::nullopt;
  }
  const auto owner = this->context->keys->WorkspaceOf(this->statement.key);
  if (!owner) return NotRunReason::kUnknownKey;
  this->workspace = *owner;
  this->weight = this->configuration->workspaces.at(*owner).weight;
  const bool allowed = route.open || route.workspaces.contains(*owner);
  if (!allowed) return NotRunReason::kRouteForbidden;
  return std::nullopt;
}

std::optional<request::NotRunReason> RequestTask::ReadSession() {
  try {
    this->session = this->statement.session.empty()
                        ? request::SessionToken(this->workspace)
                        : request::SessionToken::Decode(
                              this->statement.session,
                              this->context->session_secrets, this->workspace);
    // A service that would not fit must be refused before the request runs.
    this->session->Advance(this->service_id, common::LogPosition{});
  } catch (const request::BadSessionTokenError&) {
    return request::NotRunReason::kBadSessionToken;
  } catch (const request::SessionTooWideError&) {
    return request::NotRunReason::kSessionTooWide;
  }
  return std::nullopt;
}

std::optional<request::NotRunReason> RequestTask::TakeToken() {
  const bool limited =
      this->configuration->workspaces.contains(this->workspace);
  if (!limited) return std::nullopt;
  const Admission admission = this->context->rates->Admit(this->workspace);
  const auto* refused = std::get_if<Refused>(&admission);
  if (refused == nullptr) return std::nullopt;
  this->retry_after = refused->retry_after;
  return request::NotRunReason::kRateExceeded;
}

void RequestTask::PrepareCall() {
  this->call.request_id = this->statement.request_id;
  this->call.workspace = this->workspace;
  this->call.weight = this->weight;
  this->call.service = this->service_id;
  this->call.is_write = !request::IsReadOnly(this->statement.operations);
  this->call.operations =
      request::OperationsToJson(this->statement.operations).dump();
  this->call.deadline = this->statement.deadline;
  this->call.idempotency_key = this->statement.idempotency_key;
  if (!this->call.idempotency_key.empty()) {
    this->call.idempotency_digest = request::OperationsDigest(
        this->statement.route, this->statement.operations);
  }
  this->call.max_age = this->statement.max_age;
  this->call.min_position = this->session->PositionOf(this->service_id);
  this->call.wait = kPositionWait;
  this->policy.emplace(this->Class(), this->statement.deadline);
}

request::RequestClass RequestTask::Class() const {
  if (!this->call.is_write) return request::RequestClass::kRead;
  if (!this->call.idempotency_key.empty()) {
    return request::RequestClass::kKeyedWrite;
  }
  return this->statement.repeatable ? request::RequestClass::kRepeatableWrite
                                    : request::RequestClass::kUnrepeatableWrite;
}

request::RetryBudget& RequestTask::Budget() {
  return this->context->retry_budgets.try_emplace(this->statement.route, Now())
      .first->second;
}

void RequestTask::Attempt() {
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
  // Any endpoint's owner knows the primary or waits until there is one.
  const auto& endpoints = this->service->endpoints;
  this->call.endpoint = endpoints[this->next_guess++ % endpoints.size()].id;
}

void RequestTask::ChooseReadEndpoint() {
  if (this->read_order.empty()) this->OrderReadEndpoints();
  this->call.endpoint =
      this->read_order[this->next_read++ % this->read_order.size()];
}

void RequestTask::OrderReadEndpoints() {
  const connection::PrimaryHint primary =
      this->context->primaries->Find(this->service_id);
  const auto rank = [this, &primary](const version::Endpoint& endpoint) {
    const bool is_primary = endpoint.id == primary.endpoint;
    const bool away = endpoint.domain != this->context->home_domain;
    return std::pair(is_primary, away);
  };
  std::vector<version::Endpoint> ordered = this->service->endpoints;
  std::shuffle(ordered.begin(), ordered.end(), this->context->random);
  std::stable_sort(ordered.begin(), ordered.end(),
                   [&rank](const auto& left, const auto& right) {
                     return rank(left) < rank(right);
                   });
  for (const version::Endpoint& endpoint : ordered) {
    this->read_order.push_back(endpoint.id);
  }
}

void RequestTask::OnReply(const connection::StatementReply& reply) {
  this->LearnFrom(reply);
  const double jitter =
      std::uniform_real_distribution<>(0, 1)(this->context->random);
  request::RetryDecision decision =
      this->policy->Decide(reply.outcome, Now(), jitter, this->Budget());
  if (const auto* retry = std::get_if<request::RetryAfter>(&decision)) {
    this->context->counters->Add("request_retries");
    this->context->loop->RunLater(
        retry->delay, [self = this->shared_from_this()] { self->Attempt(); });
    return;
  }
  this->Finish(std::move(std::get<request::Report>(decision).outcome));
}

void RequestTask::LearnFrom(const connection::StatementReply& reply) {
  if (!reply.primary.endpoint.Empty()) {
    this->context->primaries->Learn(this->service_id, reply.primary);
    return;
  }
  // Without a hint the owner itself may be gone; the next attempt asks others.
  const bool done = std::holds_alternative<request::Done>(reply.outcome);
  if (this->call.is_write && !done) {
    this->context->primaries->Forget(this->service_id,
                                     {this->call.endpoint, this->call.term});
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
