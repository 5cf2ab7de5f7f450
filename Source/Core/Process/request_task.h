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

  /// The key is empty if the client presented none.
  RequestTask(RequestContext* context, request::RequestRecord record,
              std::string key, Callback done);

  /// Starts the request; the task keeps itself alive until its end.
  void Start();

 private:
  std::optional<request::NotRunReason> Check();
  std::optional<request::NotRunReason> Authenticate(
      const version::Route& route);
  std::optional<request::NotRunReason> ReadSession();
  /// Asks for a token; waits a little for one before it refuses.
  void TakeToken(Attempt attempt);
  void Run();
  void PrepareCall();
  request::RetryBudget& Budget();
  void SendAttempt();
  void ChooseWriteEndpoint();
  void ChooseReadEndpoint();
  void OrderCandidates();
  request::ReadHome Home() const;
  request::ReadEndpoint Describe(const version::Endpoint& endpoint,
                                 const connection::PrimaryHint& primary) const;
  void OnReply(const connection::StatementReply& reply);
  void LearnFrom(const connection::StatementReply& reply);
  void Finish(request::Outcome outcome);

  RequestContext* context;
  request::RequestRecord record;
  std::string key;
  Callback done;
  /// Kept for the whole request, so that a new version changes none that runs.
  version::ConfigurationPointer configuration;
  const version::Service* service = nullptr;
  common::ServiceId service_id;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  std::optional<request::SessionToken> session;
  common::SteadyTime token_deadline;
  connection::StatementCall call;
  std::optional<request::RetryPolicy> policy;
  /// Endpoints for a read in the order in which they are tried.
  std::vector<request::ReadCandidate> candidates;
  std::size_t next_candidate = 0;
  /// Counts on through the service's endpoints while no primary is known.
  std::size_t next_guess = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_REQUEST_TASK_H_
