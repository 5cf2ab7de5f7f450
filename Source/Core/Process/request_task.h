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

/// Workspace to which requests without a key on open routes are attributed.
inline constexpr char kOpenRouteWorkspace[] = "public";

/// Result of a request for the client.
struct RequestAnswer {
  request::Outcome outcome;
  /// New session token; empty if the request was not executed.
  std::string session;
};

/// Processes one client request from validation to its outcome: authenticates
/// it, applies the workspace's rate limit, chooses endpoints, retries, and
/// updates the session token.
class RequestTask : public std::enable_shared_from_this<RequestTask> {
 public:
  using Callback = std::function<void(RequestAnswer)>;

  /// The key is empty if the client sent none.
  RequestTask(RequestContext* context, request::RequestRecord record,
              std::string key, Callback done);

  /// Starts the request. The task keeps itself alive until it ends.
  void Start();

 private:
  std::optional<request::NotRunReason> Validate();
  std::optional<request::NotRunReason> Authenticate(
      const version::Route& route);
  std::optional<request::NotRunReason> ReadSession();
  /// Takes a rate limit token, and waits for one up to kMaxTokenWait before the
  /// request is rejected.
  void AcquireToken(Attempt attempt);
  void Run();
  void PrepareCall();
  request::RetryBudget& Budget();
  void SendAttempt();
  void ChooseWriteEndpoint();
  void ChooseReadEndpoint();
  void RefreshReadCandidates();
  request::DaemonLocation Location() const;
  request::ReadEndpoint DescribeEndpoint(
      const version::Endpoint& endpoint,
      const connection::PrimaryHint& primary) const;
  void OnReply(const connection::StatementReply& reply);
  void UpdateDirectories(const connection::StatementReply& reply);
  void Finish(request::Outcome outcome);

  RequestContext* context;
  request::RequestRecord record;
  std::string key;
  Callback done;
  /// Fixed for the whole request, so that a new version does not affect running
  /// requests.
  version::ConfigurationPointer configuration;
  const version::Service* service = nullptr;
  common::ServiceId service_id;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  std::optional<request::SessionToken> session;
  common::SteadyTime token_deadline;
  connection::StatementCall call;
  std::optional<request::RetryPolicy> policy;
  /// Endpoints for a read, in the order in which they are tried.
  std::vector<request::ReadCandidate> candidates;
  std::size_t next_candidate = 0;
  /// Round-robin index over the service's endpoints, used while no primary is
  /// known.
  std::size_t next_write_endpoint = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_REQUEST_TASK_H_
