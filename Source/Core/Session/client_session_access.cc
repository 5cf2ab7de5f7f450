// What the configuration in force lets the client of a session do: the checks
// before operations and within transactions.

#include <utility>

#include "Session/client_session.h"

namespace camphorferry::session {

using common::LogLevel;
using common::Subsystem;

std::optional<OperationAccess> ClientSession::StartAccess() {
  const auto decision =
      this->access.Start(this->delegate->Configuration().get());
  if (const auto* refusal = std::get_if<AccessRefusal>(&decision)) {
    this->LogRefusal(*refusal);
    this->ReplyError(refusal->code, refusal->reason);
    return std::nullopt;
  }
  return std::get<OperationAccess>(decision);
}

common::WorkspaceId ClientSession::Caller() const {
  const std::optional<OpenTransaction>& transaction = this->state.Transaction();
  return transaction.has_value()
             ? transaction->access.workspace
             : this->access.Caller(this->delegate->Configuration().get());
}

std::optional<AccessRefusal> ClientSession::CheckTransaction() const {
  if (this->state.Phase() != TransactionPhase::kOpen) return std::nullopt;
  return this->access.Check(this->state.Transaction()->access,
                            this->delegate->Configuration().get());
}

void ClientSession::EndRefusedTransaction() {
  if (this->CheckTransaction().has_value()) {
    this->AbortTransaction("access_refused");
  }
}

void ClientSession::LogRefusal(const AccessRefusal& refusal) const {
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "access_refused",
              {{"request", this->current_request},
               {"workspace", this->Caller()},
               {"code", ToString(refusal.code)},
               {"reason", refusal.reason},
               {"version", this->delegate->Configuration()->version}});
}

void ClientSession::Admit(Proceed proceed) {
  if (const auto given = this->StartAccess()) {
    this->AskRate(*given, std::move(proceed));
  }
}

void ClientSession::AskRate(const OperationAccess& asked, Proceed proceed) {
  this->awaiting_admission = true;
  this->stream->SetPaused(true);
  this->delegate->Admit(
      asked.workspace,
      [weak = this->weak_from_this(), asked,
       proceed = std::move(proceed)](const AdmissionDecision& decision) {
        const auto session = weak.lock();
        if (session == nullptr || session->ended) return;
        session->OnAdmission(decision, asked, proceed);
      });
}

void ClientSession::OnAdmission(const AdmissionDecision& decision,
                                const OperationAccess& asked,
                                const Proceed& proceed) {
  this->awaiting_admission = false;
  this->stream->SetPaused(false);
  // The configuration may have changed while the rate owner was asked.
  const std::optional<OperationAccess> given = this->StartAccess();
  if (!given.has_value()) {
    this->ReleaseRoomIfDone();
    return;
  }
  if (given->workspace != asked.workspace) {
    this->AskRate(*given, proceed);
    return;
  }
  if (!decision.retry_after.has_value()) {
    proceed(*given);
    this->ReleaseRoomIfDone();
    return;
  }
  const auto wait_ms = common::ToMilliseconds(*decision.retry_after).count();
  common::Log(Subsystem::kRequest, LogLevel::kInfo, "rate_exceeded",
              {{"request", this->current_request},
               {"workspace", given->workspace},
               {"keeper", decision.rate_owner},
               {"retry_after_ms", wait_ms}});
  this->ReplyError(StatementError::kBusy, "rate exceeded; retry after " +
                                              std::to_string(wait_ms) + " ms");
  this->ReleaseRoomIfDone();
}

}  // namespace camphorferry::session
