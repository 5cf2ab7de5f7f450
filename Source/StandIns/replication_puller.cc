#include "StandIns/replication_puller.h"

#include <chrono>
#include <utility>
#include <variant>

#include "StandIns/database_messages.h"
#include "StandIns/json_response.h"

namespace camphorferry::standins {

namespace {

/// Interval between the pulls of a replica that has caught up.
constexpr common::Duration kPullInterval = std::chrono::milliseconds(5);
/// A pull without a response within this time closes the connection. Primaries
/// respond to pulls immediately, so this only bounds how long a silent
/// connection interrupts replication.
constexpr common::Duration kPullTimeout = std::chrono::milliseconds(500);

/// Parses the primary's response. A missing or malformed response is returned
/// as not accepted.
ReplicateResult ParseResponse(const connection::HttpResult& result) {
  const auto* response = std::get_if<connection::HttpResponse>(&result);
  if (response == nullptr || response->status != kHttpOk) return {};
  try {
    return ParseReplicateResult(response->body);
  } catch (const common::Error& error) {
    common::Log(common::Subsystem::kProcess, common::LogLevel::kError,
                "bad_replication_answer", {{"error", error.what()}});
    return {};
  }
}

}  // namespace

ReplicationPuller::ReplicationPuller(connection::EventLoop* loop,
                                     DatabaseCore* core,
                                     const NetworkFaultInjector* network_faults,
                                     std::function<void()> on_applied)
    : loop(loop),
      core(core),
      network_faults(network_faults),
      on_applied(std::move(on_applied)) {
  this->Schedule(kPullInterval);
}

void ReplicationPuller::Restart() {
  this->connection.reset();
  this->Schedule(common::Duration::zero());
}

void ReplicationPuller::SetDelay(common::Duration delay) {
  if (delay == this->delay) return;
  this->delay = delay;
  this->Restart();
}

void ReplicationPuller::Schedule(common::Duration interval) {
  this->timer = this->loop->After(interval, [this] { this->Pull(); });
}

void ReplicationPuller::Pull() {
  const std::string& primary = this->core->PrimaryAddress();
  if (primary.empty() || this->network_faults->Isolated()) {
    this->Schedule(kPullInterval);
    return;
  }
  const ReplicateRequest pull = this->core->NextPull();
  connection::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/replicate";
  request.body = ToJson(pull).dump();
  const common::SteadyTime sent = common::SteadyNow();
  this->ConnectionForAddress(primary)->Send(
      request, kPullTimeout,
      [this, pull, sent](const connection::HttpResult& result) {
        this->OnResponse(pull, sent, result);
      });
}

void ReplicationPuller::OnResponse(const ReplicateRequest& pull,
                                   common::SteadyTime sent,
                                   const connection::HttpResult& result) {
  ReplicateResult parsed = ParseResponse(result);
  if (!parsed.accepted) {
    this->Schedule(kPullInterval);
    return;
  }
  if (this->delay == common::Duration::zero()) {
    this->Apply(pull, sent, parsed);
    return;
  }
  this->timer = this->loop->After(
      this->delay, [this, pull, sent, parsed = std::move(parsed)] {
        this->Apply(pull, sent, parsed);
      });
}

void ReplicationPuller::Apply(const ReplicateRequest& pull,
                              common::SteadyTime sent,
                              const ReplicateResult& result) {
  const bool caught_up = result.matched && result.complete;
  this->Schedule(caught_up ? kPullInterval : common::Duration::zero());
  // While isolated, the response would not have arrived.
  if (this->network_faults->Isolated()) return;
  this->core->ApplyPull(pull, result, sent);
  this->on_applied();
}

connection::HttpClientConnection* ReplicationPuller::ConnectionForAddress(
    const std::string& address) {
  const bool reusable = this->connection != nullptr &&
                        this->connected_address == address &&
                        this->connection->Usable();
  if (!reusable) {
    this->connected_address = address;
    this->connection = std::make_unique<connection::HttpClientConnection>(
        this->loop, connection::ParseSocketAddress(address));
  }
  return this->connection.get();
}

}  // namespace camphorferry::standins
