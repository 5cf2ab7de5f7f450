#ifndef CAMPHORFERRY_LOAD_SESSION_WORKER_H_
#define CAMPHORFERRY_LOAD_SESSION_WORKER_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "Load/load_plan.h"
#include "Load/statistics.h"
#include "Load/write_history.h"

namespace camphorferry::load {

/// State that all sessions of a run share.
struct LoadContext {
  connection::EventLoop* loop = nullptr;
  const LoadPlan* plan = nullptr;
  WriteHistory* write_history = nullptr;
  Statistics* statistics = nullptr;
  common::SteadyTime start;
  /// No new request starts after this time.
  common::SteadyTime end;
  /// Time of the latest acknowledged write on each route.
  std::map<std::string, common::SteadyTime> last_write;
};

/// One client session, which reads and writes its own account. It sends
/// requests one at a time at a constant rate, changes daemons at random, and
/// checks each answer.
class SessionWorker {
 public:
  SessionWorker(LoadContext* context, const WorkspaceLoad* workspace,
                std::uint32_t number);

  /// Schedules the first request after a random part of the request interval.
  void Start();

  /// True once the last request has ended.
  bool Finished() const { return this->finished; }

  const std::string& Account() const { return this->account; }

  /// Reads the account's whole content at the end of the run, adds violations
  /// to the findings, and calls done.
  void Verify(ConsistencyFindings* findings, std::function<void()> done);

 private:
  void ScheduleNext();
  void StartRequest();
  void StartRead();
  void StartWrite();
  void SendWrite();
  void OnWriteAnswer(const connection::HttpResult& result);
  void EndWrite(WriteOutcome outcome);
  void OnReadAnswer(bool has_max_age, const connection::HttpResult& result);
  void CheckRead(bool has_max_age, const nlohmann::json& body);
  void CountOutcome(const nlohmann::json& body);
  void SendVerify();
  void OnVerifyAnswer(const connection::HttpResult& result);

  connection::HttpRequest NewRequest(const nlohmann::json& operations,
                                     bool repeatable);
  void Send(const connection::HttpRequest& request,
            connection::HttpClientConnection::Callback callback);
  void Reconnect();
  void SendOrReconnect(const connection::HttpRequest& request,
                       connection::HttpClientConnection::Callback callback,
                       int reconnects_left);
  nlohmann::json ReadAnswer(const connection::HttpResult& result);
  bool Chance(double probability);

  LoadContext* context;
  const WorkspaceLoad* workspace;
  WorkspaceCounts* counts;
  std::string account;
  std::string route;
  std::mt19937_64 random;
  std::unique_ptr<connection::HttpClientConnection> http_connection;
  std::string session;
  std::string request_id;
  std::uint64_t next_request = 1;
  std::uint64_t next_write = 1;
  /// Request of the write in progress.
  connection::HttpRequest write;
  bool write_keyed = false;
  /// An earlier attempt of the write in progress has an unknown outcome.
  bool write_may_have_run = false;
  common::SteadyTime request_start;
  /// Earliest start of the next request.
  common::SteadyTime next_request_time;
  bool finished = false;
  ConsistencyFindings* findings = nullptr;
  std::function<void()> on_verified;
  int verify_attempts = 0;
};

}  // namespace camphorferry::load

#endif  // CAMPHORFERRY_LOAD_SESSION_WORKER_H_
