#ifndef CAMPHORFERRY_SOAK_ACCESS_CLIENT_H_
#define CAMPHORFERRY_SOAK_ACCESS_CLIENT_H_

#include <memory>
#include <optional>
#include <random>
#include <string>

#include "Session/message_stream.h"
#include "access_checker.h"

namespace camphorferry::soak {

/// How often a client sends statements.
enum class AccessPace {
  /// Seconds apart.
  kIdle,
  kBusy,
  /// Transactions with pauses between their statements.
  kTransactions
};

/// A client that keeps its session open whatever happens to its key, and opens
/// a new one when the session ends.
class AccessClient {
 public:
  struct Settings {
    std::size_t number = 0;
    std::string database;
    std::string key;
    bool open = false;
    AccessPace pace = AccessPace::kBusy;
    std::size_t proxy = 0;
    connection::SocketAddress address;
    std::uint64_t seed = 1;
  };

  AccessClient(connection::EventLoop* loop, AccessChecker* checker,
               Settings settings);
  ~AccessClient();
  AccessClient(const AccessClient&) = delete;
  AccessClient& operator=(const AccessClient&) = delete;

  /// Sends the next statement, or opens a session, if it is due.
  void Step(common::SteadyTime now);

 private:
  void Open(common::SteadyTime now);
  void Close();
  void OnLine(std::string_view line);
  void Ask(const std::string& line);
  std::string NextStatement();
  std::chrono::milliseconds Pause();

  connection::EventLoop* loop;
  AccessChecker* checker;
  Settings settings;
  std::mt19937_64 random;
  std::shared_ptr<session::MessageStream> stream;
  std::uint64_t next_id = 1;
  /// What has not been answered.
  std::optional<std::string> pending;
  bool ready = false;
  /// The last answer was an error.
  bool failed = false;
  bool prepared = false;
  /// Statements of the open transaction that are left, and its end.
  int left_in_transaction = 0;
  bool in_transaction = false;
  common::SteadyTime next_step;
};

}  // namespace camphorferry::soak

#endif  // CAMPHORFERRY_SOAK_ACCESS_CLIENT_H_
