#ifndef CAMPHORFERRY_PROCESS_REQUEST_TASK_H_
#define CAMPHORFERRY_PROCESS_REQUEST_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Process/request_context.h"
#include "Request/request.h"

namespace camphorferry::process {

/// Workspace that requests without a key on open routes count for.
inline constexpr char kOpenRouteWorkspace[] = "public";

/// A client's statement after its syntax was checked.
struct ClientStatement {
  std::string request_id;
  std::string key;
  std::string session;
  std::string idempotency_key;
  common::RouteId route;
  request::Operations operations;
  bool repeatable = false;
  common::SteadyTime deadline;
  std::optional<common::Duration> max_age;
};

/// What the client gets.
struct RequestAnswer {
  request::Outcome outcome;
  /// New session token; empty if the request did not run.
  std::string session;
};

/// One client request from its check to its outcome: authenticates, admits by
/// the workspace's rate, chooses endpoints, retries, and advances the session.
class RequestTask : public std::enable_shared_from_this<RequestTask> {
 public:
  using Callback = std::function<void(RequestAnswer)>;

  RequestTask(RequestContext* context, ClientStatement statement,
              Callback done);

  /// Starts the request; the task keeps itself alive until its end.
  void Start();

 private:
  std::optional<request::NotRunReason> Check();
  std::optional<request::NotRunReason> Authenticate(
      const version::Route& route);
  std::optional<request::NotRunReason> ReadSession();
  std::optional<request::NotRunReason> TakeToken();
  void PrepareCall();
  request::RequestClass Class() const;
  request::RetryBudget& Budget();
  void Attempt();
  void ChooseWriteEndpoint();
  void ChooseReadEndpoint();
  void OrderReadEndpoints();
  void OnReply(const connection::StatementReply& reply);
  void LearnFrom(const connection::StatementReply& reply);
  void Finish(request::Outcome outcome);

  RequestContext* context;
  ClientStatement statement;
  Callback done;
  /// Kept for the whole request, so that a new version changes none that runs.
  version::ConfigurationPointer configuration;
  const version::Service* service = nullptr;
  common::ServiceId service_id;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  std::optional<request::SessionToken> session;
  std::optional<common::Duration> retry_after;
  connection::StatementCall call;
  std::optional<request::RetryPolicy> policy;
  std::vector<common::EndpointId> read_order;
  std::size_t next_read = 0;
  /// Counts on through the service's endpoints while no primary is known.
  std::size_t next_guess = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_REQUEST_TASK_H_
