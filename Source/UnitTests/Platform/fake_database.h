#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DATABASE_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DATABASE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Session/session.h"

struct evconnlistener;

namespace camphorferry::platform {

/// Behavior of a fake database on one command.
enum class CommandBehavior {
  kRun,
  /// Runs it and closes the connection without a response.
  kRunAndClose,
  /// Runs it and never responds.
  kRunAndHang,
  /// Closes the connection without running it.
  kClose,
  /// Refuses it with BUSY.
  kBusy,
  /// Refuses it with FAILED.
  kFail
};

/// A statement that a fake database has executed for a client.
struct StatementRecord {
  std::string id;
  std::string text;
  std::string caller;
  std::map<std::string, std::string> values;
  /// Text of the prepared statement that an EXECUTE names.
  std::string shape;
  bool in_transaction = false;
  std::size_t connection = 0;
};

/// A committed write.
struct Commit {
  std::string id;
  std::string item;
  std::string data;
};

/// Fake database that speaks the platform's wire protocol on a loopback port.
/// Its state is public, so that tests can set role, term and positions
/// directly.
class FakeDatabase {
 public:
  FakeDatabase(connection::EventLoop* loop, std::string service,
               std::string id);
  ~FakeDatabase();
  FakeDatabase(const FakeDatabase&) = delete;
  FakeDatabase& operator=(const FakeDatabase&) = delete;

  /// Entry that registers this database in the platform's store.
  session::GroupMember Registration() const;

  bool primary = false;
  common::Term term = 1;
  common::LogPosition position{1, 1};
  /// Term of the PAUSE that is in force; 0 if the database is not paused.
  common::Term held = 0;
  std::size_t max_connections = 16;
  /// Selects the behavior on each command; commands are run if it is unset.
  std::function<CommandBehavior(const std::string& text)> command_behavior;
  /// Called for each commit that contains writes.
  std::function<void()> on_commit = [] {};
  /// Called after each commit; a commit for which it returns false gets no
  /// response.
  std::function<bool()> acknowledges = [] { return true; };
  /// Called for each statement that was executed.
  std::function<void(const StatementRecord&)> on_executed =
      [](const StatementRecord&) {};
  std::vector<StatementRecord> executed;
  /// Committed writes in order; a read returns the latest write of its item.
  std::vector<Commit> log;
  std::size_t connections_accepted = 0;
  std::size_t Connections() const { return this->connections.size(); }

 private:
  struct Connection;

  static void OnAccept(evconnlistener* listener, int socket,
                       struct sockaddr* address, int length, void* context);
  void OnLine(Connection* connection, const std::string& line);
  std::string Execute(Connection* connection, const std::string& id,
                      std::string text);
  std::string ReadyMessage(const Connection& connection) const;
  std::string SignedResponse(const Connection& connection,
                             const std::string& request,
                             const std::string& rows) const;
  void Record(const StatementRecord& statement);
  std::string ValueOf(const std::string& item) const;
  std::string StatusRow() const;

  connection::EventLoop* loop;
  std::string service;
  std::string id;
  std::uint16_t port = 0;
  evconnlistener* listener = nullptr;
  std::map<std::size_t, std::shared_ptr<Connection>> connections;
};

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_DATABASE_H_
