#ifndef CAMPHORFERRY_SOAK_SOAK_CLIENT_H_
#define CAMPHORFERRY_SOAK_SOAK_CLIENT_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Session/message_stream.h"
#include "guarantee_checker.h"
#include "proxy_process.h"

namespace camphorferry::soak {

/// A kind of route. Each service has one route of each kind, named
/// SERVICE-NAME.
struct SoakRoute {
  const char* name;
  session::ReadGuarantee guarantee;
};

inline constexpr std::array<SoakRoute, 3> kSoakRoutes = {{
    {"latest", session::ReadGuarantee::kLatest},
    {"bounded", session::ReadGuarantee::kBoundedStaleness},
    {"own", session::ReadGuarantee::kReadYourWrites},
}};

/// Maximum staleness of reads on the routes with bounded staleness.
inline constexpr std::chrono::milliseconds kMaxStaleness(1500);

/// State of the run that clients share.
struct SoakContext {
  connection::EventLoop* loop = nullptr;
  GuaranteeChecker* checker = nullptr;
  std::vector<std::string> services;
  std::vector<std::unique_ptr<ProxyProcess>>* proxies = nullptr;
  /// True if there was no other disturbance than planned operations since then.
  std::function<bool(common::SteadyTime since)> only_planned_operations;
  /// True if the key was withdrawn so long ago that every proxy must reject it.
  std::function<bool(const std::string& key)> key_revoked;
};

/// Client that sends single statements, transactions and session values on one
/// session at a time and reports each outcome to the checker. Reconnects to a
/// random proxy when the connection ends.
class SoakClient {
 public:
  SoakClient(SoakContext* context, int number, std::string workspace,
             std::uint64_t seed);

  /// Sends the next statement when it is due. To be called periodically.
  void Step();

  /// Ends the session after the current operation.
  void FinishOperation() { this->finishing = true; }
  bool Idle() const {
    return !this->pending.has_value() && this->remaining_statements.empty();
  }

  /// Number of operations that succeeded.
  std::size_t Succeeded() const { return this->succeeded; }
  /// Time at which an operation last succeeded.
  common::SteadyTime LastSuccess() const { return this->last_success; }

 private:
  struct PendingStatement {
    SentStatement statement;
    std::string text;
    bool outcome_reported = false;
  };

  void Connect();
  void ChooseOperation();
  void SendNextStatement();
  void OnLine(std::string_view line);
  void OnResponseComplete();
  /// Ends the session because the connection has ended or no response arrived
  /// in time; reports a pending statement as cut off.
  void Disconnect();
  void Close();

  SoakContext* context;
  int number;
  std::string workspace;
  std::mt19937_64 random;
  std::shared_ptr<session::MessageStream> stream;
  bool session_open = false;
  bool finishing = false;
  std::string service;
  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  std::string session_name;
  std::uint64_t next_statement = 1;
  session::SessionValues values;
  std::optional<std::pair<std::string, std::string>> pending_value;
  /// Statements of the current operation that have not been sent yet.
  std::vector<std::string> remaining_statements;
  bool in_transaction = false;
  /// True once a statement of the transaction has counted against the rate
  /// limit.
  bool transaction_counted = false;
  common::SteadyTime transaction_started_at;
  std::vector<std::string> transaction_writes;
  std::optional<PendingStatement> pending;
  std::optional<std::string> error;
  common::SteadyTime next_step_at;
  std::size_t succeeded = 0;
  common::SteadyTime last_success;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_SOAK_CLIENT_H_
