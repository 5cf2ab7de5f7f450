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

/// What the client gets.
struct RequestAnswer {
  request::Outcome outcome;
  /// New session token; empty if the request changed nothing in the session.
  std::string session;
};

/// One client request from its check to its outcome: authenticates, admits by
/// the workspace's rate, chooses endpoints, retries, and advances the session.
class RequestTask : public std::enable_shared_from_this<RequestTask> {
 public:
  using Callback = std::function<void(RequestAnswer)>;

  RequestTask(RequestContext* context, request::RequestRecord record,
              std::string key, Callback done);

  /// Starts the request; the task keeps itself alive until its end.
  void Start();

 private:
  std::optional<request::NotRunReason> Admit();
  std::optional<request::NotRunReason> Authenticate(
      const version::Route& route);
  std::optional<request::NotRunReason> ReadSession();
  std::optional<request::NotRunReason> TakeToken();
  void PrepareCall();
  void Attempt();
  void ChooseWriteEndpoint();
  void ChooseReadEndpoint();
  void OnReply(connection::StatementReply reply);
  void LearnFrom(const connection::StatementReply& reply);
  void Finish(request::Outcome outcome);

  RequestContext* context;
  request::RequestRecord record;
  std::string key;
  Callback done;
  common::SteadyTime started;
  const version::Service* service = nullptr;
  common::ServiceId service_id;
  version::ConfigurationPointer configuration;
  common::WorkspaceId workspace;
  std::uint32_t weight = 1;
  std::optional<request::SessionToken> session;
  std::optional<common::Duration> retry_after;
  connection::StatementCall call;
  std::optional<request::RetryPolicy> policy;
  /// Endpoints of this request in the order in which they are tried.
  std::vector<request::ReadCandidate> candidates;
  std::size_t next_candidate = 0;
  /// Counts on through the service's endpoints while no primary is known.
  std::size_t next_guess = 0;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_REQUEST_TASK_H_
