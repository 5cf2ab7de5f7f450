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

/// A kind of route; each service has one of each, named SERVICE-NAME.
struct SoakRoute {
  const char* name;
  session::ReadGuarantee guarantee;
};

inline constexpr std::array<SoakRoute, 3> kSoakRoutes = {{
    {"latest", session::ReadGuarantee::kLatest},
    {"bounded", session::ReadGuarantee::kBoundedStaleness},
    {"own", session::ReadGuarantee::kReadYourWrites},
}};

/// Age of the data that the routes with bounded staleness may read.
inline constexpr std::chrono::milliseconds kMaxStaleness(1500);

/// What clients know of the run.
struct SoakWorld {
  connection::EventLoop* loop = nullptr;
  PromiseChecker* checker = nullptr;
  std::vector<std::string> services;
  std::vector<std::unique_ptr<ProxyProcess>>* proxies = nullptr;
  /// Whether planned stops are the only disturbance since then.
  std::function<bool(common::SteadyTime since)> only_planned_stops;
  /// Whether the key has been withdrawn for longer than the bound of a change.
  std::function<bool(const std::string& key)> key_gone;
};

/// One client with one session at a time: single statements, transactions, and
/// session values, checked answer by answer. Reconnects to another proxy when
/// the connection ends.
class SoakClient {
 public:
  SoakClient(SoakWorld* world, int number, std::string workspace,
             std::uint64_t seed);

  /// Starts the next operation; to be called again and again.
  void Step();

  /// Ends the session after the operation under way.
  void Finish() { this->finishing = true; }
  bool Idle() const { return !this->pending.has_value() && this->plan.empty(); }

  /// Operations that ended with success.
  std::size_t Served() const { return this->served; }
  /// When an operation last ended with success.
  common::SteadyTime LastServed() const { return this->last_served; }

 private:
  struct PendingStatement {
    SentStatement statement;
    std::string text;
    bool told = false;
  };

  void Connect();
  void PlanOperation();
  void SendNext();
  void OnLine(std::string_view line);
  void OnReady();
  void OnEnded();
  void Close();

  SoakWorld* world;
  int number;
  std::string workspace;
  std::mt19937_64 random;
  std::shared_ptr<session::MessageStream> stream;
  bool open = false;
  bool finishing = false;
  std::string service;
  session::ReadGuarantee guarantee = session::ReadGuarantee::kLatest;
  std::string session_name;
  std::uint64_t next_statement = 1;
  session::SessionValues values;
  std::optional<std::pair<std::string, std::string>> value_under_way;
  /// Texts of the present operation that are still to be sent.
  std::vector<std::string> plan;
  bool in_transaction = false;
  bool transaction_started = false;
  common::SteadyTime transaction_began;
  std::vector<std::string> transaction_writes;
  std::optional<PendingStatement> pending;
  std::optional<std::string> error;
  common::SteadyTime not_before;
  std::size_t served = 0;
  common::SteadyTime last_served;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_SOAK_CLIENT_H_
