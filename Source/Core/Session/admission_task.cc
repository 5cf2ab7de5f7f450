#include "Session/admission_task.h"

#include <utility>

namespace camphorferry::session {

AdmissionTask::AdmissionTask(WorkspaceLimiter* limiter, ProxyMetrics* metrics)
    : limiter(limiter), metrics(metrics) {}

void AdmissionTask::Count(const char* result) {
  this->metrics->Count(
      "admissions",
      "Operations asked for at the keeper of their rate; \"alone\" if it gave "
      "no answer, \"refused_unasked\" if it has refused others just before.",
      "result", result);
}

void AdmissionTask::Admit(const common::WorkspaceId& workspace, Callback done) {
  if (!this->limiter->HasLimit(workspace)) {
    done(AdmissionDecision{});
    return;
  }
  Workspace& entry = this->workspaces[workspace];
  const AdmissionQueue::Step step =
      entry.queue.OnOperation(common::SteadyNow());
  if (const auto* refusal = std::get_if<AdmissionQueue::Refuse>(&step)) {
    this->Count("refused_unasked");
    done(AdmissionDecision{refusal->retry_after, entry.owner});
    return;
  }
  entry.waiting.push_back(std::move(done));
  if (std::holds_alternative<AdmissionQueue::Ask>(step)) this->Ask(workspace);
}

void AdmissionTask::Ask(const common::WorkspaceId& workspace) {
  Workspace& entry = this->workspaces[workspace];
  const std::vector<Callback> asked = std::exchange(entry.waiting, {});
  const AdmissionRequest request = this->limiter->MakeRequest(
      workspace, static_cast<std::uint32_t>(asked.size()), common::SteadyNow());
  this->fleet->RequestAdmission(
      request, entry.owner,
      [this, workspace, asked,
       alone = request.admitted_alone](const std::optional<OwnerReply>& reply) {
        this->OnReply(workspace, asked, alone, reply);
      });
}

void AdmissionTask::OnReply(const common::WorkspaceId& workspace,
                            const std::vector<Callback>& asked,
                            std::uint32_t alone,
                            const std::optional<OwnerReply>& reply) {
  const common::SteadyTime now = common::SteadyNow();
  Workspace& entry = this->workspaces[workspace];
  if (!reply.has_value()) {
    entry.queue.OnReply(std::nullopt, now);
    this->limiter->ReturnAdmittedAlone(workspace, alone);
    this->AdmitAlone(workspace, asked);
  } else {
    entry.queue.OnReply(reply->decision, now);
    entry.owner = reply->owner;
    const std::uint32_t admitted = reply->decision.admitted;
    this->limiter->OnOwnerReplied(workspace, reply->decision, now);
    for (std::size_t index = 0; index < asked.size(); ++index) {
      AdmissionDecision decision{std::nullopt, reply->owner};
      const bool refused = index >= admitted;
      if (refused) decision.retry_after = entry.queue.NextRetry(now);
      this->Count(refused ? "refused" : "admitted");
      asked[index](decision);
    }
  }
  const AdmissionQueue::Step step = entry.queue.OnWaiting(now);
  if (std::holds_alternative<AdmissionQueue::Ask>(step)) {
    this->Ask(workspace);
  } else if (std::holds_alternative<AdmissionQueue::Refuse>(step)) {
    for (const Callback& done : std::exchange(entry.waiting, {})) {
      this->Count("refused_unasked");
      done(AdmissionDecision{entry.queue.NextRetry(now), entry.owner});
    }
  }
}

void AdmissionTask::AdmitAlone(const common::WorkspaceId& workspace,
                               const std::vector<Callback>& operations) {
  const common::SteadyTime now = common::SteadyNow();
  for (const Callback& done : operations) {
    const auto wait = this->limiter->AdmitLocally(workspace, now);
    this->Count(wait.has_value() ? "alone_refused" : "alone_admitted");
    done(AdmissionDecision{wait, {}});
  }
}

}  // namespace camphorferry::session
