#include "fake_database.h"

#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace camphorferry::platform {

struct FakeDatabase::Connection {
  std::size_t number = 0;
  std::shared_ptr<session::MessageStream> stream;
  std::string caller;
  bool open = false;
  bool in_transaction = false;
  bool read_only = false;
  bool failed = false;
  bool wrote = false;
  std::vector<Commit> uncommitted;
  std::map<std::string, std::string> values;
  std::map<std::string, std::string> prepared;
};

FakeDatabase::FakeDatabase(connection::EventLoop* loop, std::string service,
                           std::string id)
    : loop(loop), service(std::move(service)), id(std::move(id)) {
  sockaddr_in address = connection::ToSockaddrIn({"127.0.0.1", 0});
  this->listener = evconnlistener_new_bind(
      loop->Base(), OnAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      16, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  this->port = connection::LocalPort(evconnlistener_get_fd(this->listener));
}

FakeDatabase::~FakeDatabase() {
  for (const auto& [number, connection] : this->connections) {
    connection->stream->Close();
  }
  evconnlistener_free(this->listener);
}

session::GroupMember FakeDatabase::Registration() const {
  session::GroupMember member;
  member.id = common::EndpointId(this->id);
  member.service = common::ServiceId(this->service);
  member.address = {"127.0.0.1", this->port};
  member.domain = common::FailureDomainId("zone");
  member.reports_primary = this->primary;
  member.incarnation = 1;
  return member;
}

void FakeDatabase::OnAccept(evconnlistener* /*listener*/, int socket,
                            sockaddr* /*address*/, int /*length*/,
                            void* context) {
  auto* database = static_cast<FakeDatabase*>(context);
  auto connection = std::make_shared<Connection>();
  connection->number = ++database->connections_accepted;
  connection->stream =
      std::make_shared<session::MessageStream>(database->loop, socket);
  database->connections[connection->number] = connection;
  session::StreamEvents events;
  Connection* raw = connection.get();
  events.message = [database, raw](std::string_view line) {
    database->OnLine(raw, std::string(line));
  };
  events.closed = [database, number = connection->number] {
    const auto found = database->connections.find(number);
    if (found == database->connections.end()) return;
    database->loop->Post([keep = found->second] {});
    database->connections.erase(found);
  };
  connection->stream->Start(std::move(events));
}

void FakeDatabase::OnLine(Connection* connection, const std::string& line) {
  const auto drop = [this, connection] {
    const auto keep = this->connections.at(connection->number);
    keep->stream->Close();
    this->loop->Post([keep] {});
    this->connections.erase(keep->number);
  };
  std::istringstream words(line);
  std::string word;
  words >> word;
  if (!connection->open) {
    std::string name;
    std::string expected;
    words >> name >> connection->caller >> expected;
    if (this->connections.size() > this->max_connections) {
      drop();
      return;
    }
    if (word != "STARTUP" || name != this->service ||
        (!expected.empty() && expected != this->id)) {
      connection->stream->Send("ERROR WRONGNODE " + this->id + "\r\n");
      return;
    }
    connection->open = true;
    connection->stream->Send(this->ReadyMessage(*connection));
    return;
  }
  std::string request_id;
  words >> request_id;
  std::string text;
  std::getline(words >> std::ws, text);
  const CommandBehavior behavior = this->command_behavior
                                       ? this->command_behavior(text)
                                       : CommandBehavior::kRun;
  if (behavior == CommandBehavior::kClose) {
    drop();
    return;
  }
  if (behavior == CommandBehavior::kBusy) {
    connection->stream->Send("ERROR BUSY -\r\n" +
                             this->ReadyMessage(*connection));
    return;
  }
  if (behavior == CommandBehavior::kFail) {
    connection->stream->Send("ERROR FAILED -\r\n" +
                             this->ReadyMessage(*connection));
    return;
  }
  const std::string reply = this->Execute(connection, request_id, text);
  if (behavior == CommandBehavior::kRunAndHang || reply.empty()) return;
  if (behavior == CommandBehavior::kRunAndClose) {
    drop();
    return;
  }
  connection->stream->Send(reply);
}

std::string FakeDatabase::ReadyMessage(const Connection& connection) const {
  const char* state = "I";
  if (connection.in_transaction) state = connection.failed ? "E" : "T";
  return std::string("READY ") + state + " " +
         std::to_string(this->position.term) + "." +
         std::to_string(this->position.index) + "\r\n";
}

std::string FakeDatabase::SignedResponse(const Connection& connection,
                                         const std::string& request,
                                         const std::string& rows) const {
  return rows + "COMPLETE sig." + this->id + "." + request + "\r\n" +
         this->ReadyMessage(connection);
}

void FakeDatabase::Record(const StatementRecord& statement) {
  this->executed.push_back(statement);
  this->on_executed(statement);
}

std::string FakeDatabase::ValueOf(const std::string& item) const {
  const auto found =
      std::find_if(this->log.rbegin(), this->log.rend(),
                   [&](const Commit& commit) { return commit.item == item; });
  return found == this->log.rend() ? "data" : found->data;
}

std::string FakeDatabase::StatusRow() const {
  std::ostringstream row;
  row << "ROW " << (this->primary ? "primary " : "replica ") << this->term
      << " " << this->position.term << "." << this->position.index << " "
      << this->held << " 0 0 " << this->connections.size() << "\r\n";
  return row.str();
}

std::string FakeDatabase::Execute(Connection* connection, const std::string& id,
                                  std::string text) {
  const auto done = [&](const std::string& rows) {
    return rows + "COMPLETE -\r\n" + this->ReadyMessage(*connection);
  };
  const auto refuse = [&](const std::string& code) {
    if (connection->in_transaction) connection->failed = true;
    return "ERROR " + code + " -\r\n" + this->ReadyMessage(*connection);
  };
  std::istringstream words(text);
  std::string verb;
  words >> verb;
  if (verb == "AFTER") {
    std::string wanted;
    words >> wanted >> verb;
    common::LogPosition after;
    char dot = 0;
    std::istringstream(wanted) >> after.term >> dot >> after.index;
    if (this->position < after) return refuse("LAGGING");
    text = text.substr(text.find(verb));
  }
  if (verb == "STATUS") return done(this->StatusRow());
  if (verb == "PAUSE") {
    words >> this->held;
    return done(this->StatusRow());
  }
  if (verb == "RESUME") {
    this->held = 0;
    return done(this->StatusRow());
  }
  if (verb == "STEPDOWN") {
    this->primary = false;
    return done(this->StatusRow());
  }
  if (verb == "RESET") {
    connection->values.clear();
    connection->prepared.clear();
    return done("");
  }
  if (verb == "SET") {
    std::string name;
    std::string value;
    words >> name >> value;
    connection->values[name] = value;
    return done("");
  }
  if (verb == "PREPARE") {
    std::string name;
    std::string shape;
    words >> name;
    std::getline(words >> std::ws, shape);
    connection->prepared[name] = shape;
    return done("");
  }
  if (verb == "BEGIN") {
    const bool read_only = text == "BEGIN READ";
    if (!read_only && !this->primary) return refuse("READONLY");
    connection->in_transaction = true;
    connection->read_only = read_only;
    connection->failed = false;
    connection->wrote = false;
    connection->uncommitted.clear();
    return done("");
  }
  if (verb == "ROLLBACK") {
    connection->in_transaction = false;
    connection->uncommitted.clear();
    return done("");
  }
  StatementRecord record{id,
                         text,
                         connection->caller,
                         connection->values,
                         "",
                         connection->in_transaction,
                         connection->number};
  bool writes = verb == "WRITE";
  std::string item;
  if (verb == "EXECUTE") {
    std::string name;
    words >> name >> item;
    const auto found = connection->prepared.find(name);
    if (found == connection->prepared.end()) return refuse("NOSTMT");
    record.shape = found->second;
    writes = found->second.starts_with("WRITE");
  } else {
    words >> item;
  }
  const bool commits =
      verb == "COMMIT" || (writes && !connection->in_transaction);
  if (writes && !this->primary) return refuse("READONLY");
  if (verb == "COMMIT") {
    connection->in_transaction = false;
    if (!connection->wrote) {
      this->Record(record);
      return this->SignedResponse(*connection, id, "");
    }
    if (!this->primary) return refuse("READONLY");
  }
  connection->wrote = connection->wrote || writes;
  this->Record(record);
  if (writes) {
    std::string data;
    words >> data;
    connection->uncommitted.push_back({id, item, data});
  }
  if (commits) {
    this->log.insert(this->log.end(), connection->uncommitted.begin(),
                     connection->uncommitted.end());
    connection->uncommitted.clear();
    this->position = {this->term, this->position.index + 1};
    this->on_commit();
    if (!this->acknowledges()) return "";
  }
  return this->SignedResponse(
      *connection, id,
      writes || commits ? "" : "ROW " + this->ValueOf(item) + "\r\n");
}

}  // namespace camphorferry::platform
