#include "soak_client.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace camphorferry::soak {

namespace {

/// Delay before a client reconnects after an error or the end of its
/// connection.
constexpr std::chrono::milliseconds kReconnectDelay(100);
/// Client timeout for a response. It exceeds the longest time that a proxy may
/// wait: three latency objectives and the statement timeout.
constexpr std::chrono::milliseconds kReplyTimeout(6000);

/// Error codes that guarantee that the statement was not applied.
constexpr std::array<const char*, 6> kNotAppliedErrors = {
    "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "TOOMANY"};

}  // namespace

SoakClient::SoakClient(SoakContext* context, int number, std::string workspace,
                       std::uint64_t seed)
    : context(context),
      number(number),
      workspace(std::move(workspace)),
      random(seed) {}

void SoakClient::Connect() {
  auto& proxies = *this->context->proxies;
  const SoakRoute& route = kSoakRoutes[this->random() % kSoakRoutes.size()];
  this->service =
      this->context->services[this->random() % this->context->services.size()];
  this->guarantee = route.guarantee;
  this->session_name =
      std::to_string(this->number) + "." + std::to_string(this->next_statement);
  this->values.clear();
  this->in_transaction = false;
  this->session_open = false;
  this->stream = std::make_shared<session::MessageStream>(
      this->context->loop,
      proxies[this->random() % proxies.size()]->ClientAddress());
  session::StreamEvents events;
  events.message = [this](std::string_view line) { this->OnLine(line); };
  events.closed = [this] { this->Disconnect(); };
  this->stream->Start(std::move(events));
  this->stream->Send("STARTUP " + this->service + "-" + route.name + " key-" +
                     this->workspace + "\r\n");
  this->next_step_at = common::SteadyNow() + kReplyTimeout;
}

void SoakClient::Step() {
  const common::SteadyTime now = common::SteadyNow();
  if (this->pending.has_value()) {
    if (now - this->pending->statement.sent > kReplyTimeout) this->Disconnect();
    return;
  }
  if (this->stream != nullptr && !this->session_open) {
    if (now >= this->next_step_at) this->Disconnect();
    return;
  }
  if (now < this->next_step_at) return;
  if (this->remaining_statements.empty()) {
    if (this->finishing) {
      this->Close();
      return;
    }
    if (this->stream == nullptr) {
      this->Connect();
      return;
    }
    this->ChooseOperation();
  }
  this->SendNextStatement();
}

void SoakClient::ChooseOperation() {
  const std::string item = "i" + std::to_string(this->random() % 50);
  const std::string data = "d" + std::to_string(this->next_statement);
  constexpr int kChoices = 10;
  switch (this->random() % kChoices) {
    case 0:
      this->remaining_statements = {"SET mode m" +
                                    std::to_string(this->random() % 3)};
      break;
    case 1:
    case 2:
      this->remaining_statements = {"WRITE " + item + " " + data};
      break;
    case 3:
      this->remaining_statements = {"BEGIN", "READ " + item,
                                    "WRITE " + item + " " + data, "COMMIT"};
      break;
    case 4:
      this->remaining_statements = {"BEGIN READ", "READ " + item, "READ i1",
                                    "COMMIT"};
      break;
    case 5:
      this->remaining_statements = {"BEGIN", "WRITE " + item + " " + data,
                                    "ROLLBACK"};
      break;
    default:
      this->remaining_statements = {"READ " + item};
      break;
  }
}

void SoakClient::SendNextStatement() {
  const std::string text = this->remaining_statements.front();
  this->remaining_statements.erase(this->remaining_statements.begin());
  const bool begins_transaction = text.starts_with("BEGIN");
  const bool is_write = text.starts_with("WRITE");
  PendingStatement next;
  next.text = text;
  next.statement.id = "c" + std::to_string(this->number) + "x" +
                      std::to_string(this->next_statement++);
  next.statement.service = this->service;
  next.statement.session = this->session_name;
  next.statement.workspace = this->workspace;
  next.statement.guarantee = this->guarantee;
  next.statement.max_staleness = kMaxStaleness;
  next.statement.commits = is_write || text == "COMMIT";
  next.statement.values = this->values;
  next.statement.sent = common::SteadyNow();
  next.statement.key_revoked =
      this->context->key_revoked("key-" + this->workspace);
  if (begins_transaction) {
    this->in_transaction = true;
    this->transaction_counted = false;
    this->transaction_writes.clear();
    this->transaction_started_at = next.statement.sent;
  }
  next.statement.fresh_as_of =
      this->in_transaction ? this->transaction_started_at : next.statement.sent;
  const bool accesses_data = is_write || text.starts_with("READ");
  if (accesses_data && this->in_transaction) {
    next.statement.starts_operation =
        !std::exchange(this->transaction_counted, true);
    // A write in a transaction is committed with the transaction but under its
    // own identifier.
    if (is_write) this->transaction_writes.push_back(next.statement.id);
  } else {
    next.statement.starts_operation = accesses_data;
  }
  if (text.starts_with("SET")) {
    std::istringstream words(text);
    std::string verb;
    std::pair<std::string, std::string> value;
    words >> verb >> value.first >> value.second;
    this->pending_value = value;
  }
  this->error.reset();
  this->context->checker->OnSent(next.statement);
  this->pending = std::move(next);
  this->stream->Send("QUERY " + this->pending->statement.id + " " + text +
                     "\r\n");
}

void SoakClient::OnLine(std::string_view line) {
  std::istringstream words{std::string(line)};
  std::string kind;
  words >> kind;
  if (!this->session_open) {
    if (kind == "READY") {
      this->session_open = true;
      this->next_step_at = common::SteadyNow();
    } else {
      this->Disconnect();
    }
    return;
  }
  if (!this->pending.has_value()) {
    this->context->checker->OnOutcome("unasked:" + std::string(line),
                                      ClientOutcome::kUnknown,
                                      common::SteadyNow());
    return;
  }
  if (kind == "ERROR") {
    std::string code;
    words >> code;
    this->error = code;
  } else if (kind == "COMPLETE") {
    std::string signature;
    words >> signature;
    // The simulated databases end each signature with the statement's
    // identifier.
    const std::string& id = this->pending->statement.id;
    if (signature != "-" && !signature.ends_with("." + id)) {
      this->context->checker->OnOutcome("signature:" + signature,
                                        ClientOutcome::kUnknown,
                                        common::SteadyNow());
    }
  } else if (kind == "READY") {
    this->OnResponseComplete();
  }
}

void SoakClient::OnResponseComplete() {
  const common::SteadyTime now = common::SteadyNow();
  const PendingStatement completed =
      *std::exchange(this->pending, std::nullopt);
  const bool not_applied =
      this->error.has_value() &&
      std::find(kNotAppliedErrors.begin(), kNotAppliedErrors.end(),
                *this->error) != kNotAppliedErrors.end();
  ClientOutcome outcome = ClientOutcome::kDone;
  if (this->error.has_value()) {
    outcome =
        not_applied ? ClientOutcome::kNotApplied : ClientOutcome::kUnknown;
  }
  const bool ends_transaction =
      completed.text == "COMMIT" || completed.text == "ROLLBACK";
  const bool autocommit = !this->in_transaction;
  if (completed.text == "COMMIT") {
    // Writes have the outcome of their transaction.
    for (const std::string& id : this->transaction_writes) {
      this->context->checker->OnOutcome(id, outcome, now);
    }
  } else if (completed.text == "ROLLBACK" || (not_applied && !autocommit)) {
    for (const std::string& id : this->transaction_writes) {
      this->context->checker->OnOutcome(id, ClientOutcome::kNotApplied, now);
    }
  } else if (autocommit && completed.text.starts_with("WRITE")) {
    this->context->checker->OnOutcome(completed.statement.id, outcome, now);
  }
  if (this->pending_value.has_value()) {
    if (!this->error.has_value()) {
      this->values[this->pending_value->first] = this->pending_value->second;
    }
    this->pending_value.reset();
  }
  if (ends_transaction) this->in_transaction = false;
  if (this->error.has_value()) {
    // Like the real clients, ends the session after a failed operation.
    this->Close();
    this->next_step_at = now + kReconnectDelay;
    return;
  }
  if (this->remaining_statements.empty()) {
    ++this->succeeded;
    this->last_success = now;
    constexpr int kMaxPauseMs = 60;
    this->next_step_at =
        now + std::chrono::milliseconds(this->random() % kMaxPauseMs);
  }
}

void SoakClient::Disconnect() {
  if (this->pending.has_value()) {
    const bool only_planned = this->context->only_planned_operations(
        this->pending->statement.sent - std::chrono::seconds(5));
    this->context->checker->OnConnectionLost(this->pending->statement.id,
                                             only_planned, common::SteadyNow());
  }
  this->Close();
  this->next_step_at = common::SteadyNow() + kReconnectDelay;
}

void SoakClient::Close() {
  this->remaining_statements.clear();
  this->pending.reset();
  this->pending_value.reset();
  this->in_transaction = false;
  this->session_open = false;
  if (this->stream == nullptr) return;
  this->stream->Close();
  // Deferred, because the stream may be executing one of its own callbacks.
  this->context->loop->Post([deferred = std::move(this->stream)] {});
  this->stream.reset();
}

}  // namespace camphorferry::soak
