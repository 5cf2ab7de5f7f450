#ifndef CAMPHORFERRY_PROCESS_OPERATOR_HTTP_SERVER_H_
#define CAMPHORFERRY_PROCESS_OPERATOR_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "Process/configuration_task.h"
#include "Process/counters.h"
#include "Process/event_log.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Callbacks to the daemon for operator requests.
struct OperatorCallbacks {
  /// Returns the daemon's state for GET /operator/v1/status.
  std::function<nlohmann::json()> status;
  /// Starts a graceful shutdown.
  std::function<void()> drain;
  /// Called before the counters are read, to update the gauges.
  std::function<void()> refresh_counters;
};

/// HTTP server for operators: plans and their application, drain, status,
/// counters and events.
class OperatorHttpServer {
 public:
  OperatorHttpServer(connection::EventLoop* loop,
                     const connection::SocketAddress& address,
                     connection::ObjectStore* store,
                     ConfigurationTask* configuration, Counters* counters,
                     EventLog* events, OperatorCallbacks callbacks);

  std::uint16_t Port() const { return this->server.Port(); }

 private:
  using Responder = std::shared_ptr<connection::HttpResponder>;
  using CurrentCallback =
      std::function<void(connection::ObjectVersion store_version,
                         const version::Configuration& current)>;

  void OnRequest(const connection::HttpRequest& request,
                 const Responder& responder);
  bool OnGet(const connection::HttpRequest& request,
             const Responder& responder);
  void OnPlan(const connection::HttpRequest& request,
              const Responder& responder);
  void OnApply(const connection::HttpRequest& request,
               const Responder& responder);
  void Apply(const version::Configuration& declared, const std::string& digest,
             const Responder& responder, int remaining_attempts);
  void OnDrain(const Responder& responder);
  /// Reads the configuration from the store, since this daemon's copy may be
  /// older.
  void ReadCurrent(const Responder& responder, CurrentCallback then);
  void Write(connection::ObjectVersion store_version,
             version::Configuration next, const Responder& responder,
             std::function<void()> on_conflict);

  connection::ObjectStore* store;
  ConfigurationTask* configuration;
  Counters* counters;
  EventLog* events;
  OperatorCallbacks callbacks;
  connection::HttpServer server;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_OPERATOR_HTTP_SERVER_H_
