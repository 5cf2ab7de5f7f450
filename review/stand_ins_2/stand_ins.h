// Stand-ins for the platform and the databases, a client, and a runner for
// proxy processes, for the scripts of the second review. Header only; needs
// nothing but the C++ library, POSIX sockets and nlohmann-json.
#ifndef REVIEW_STAND_INS_2_H_
#define REVIEW_STAND_INS_2_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

/// Milliseconds since the start of the case.
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

inline void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// The case could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Line(const std::string& text) {
    const std::scoped_lock lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ",
                  static_cast<double>(NowMs()) / 1000);
    this->file << time << text << std::endl;
  }

 private:
  std::mutex mutex;
  std::ofstream file;
};

/// Ends the processes of the case.
inline std::vector<std::function<void()>> at_end;

inline Record* record = nullptr;
inline void Note(const std::string& text) {
  if (record != nullptr) record->Line(text);
}

/// A blocking socket that is read line by line or byte by byte.
class Socket {
 public:
  explicit Socket(int descriptor) : descriptor(descriptor) {
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Socket() { close(this->descriptor); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = send(this->descriptor, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// Reads a line without its CR LF; none if the peer closes or the time ends.
  std::optional<std::string> Line(std::int64_t timeout_ms) {
    const std::int64_t until = NowMs() + timeout_ms;
    while (true) {
      const std::size_t end = this->buffer.find("\r\n");
      if (end != std::string::npos) {
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return line;
      }
      if (!this->Fill(until)) return std::nullopt;
    }
  }
  std::optional<std::string> Bytes(std::size_t count, std::int64_t timeout_ms) {
    const std::int64_t until = NowMs() + timeout_ms;
    while (this->buffer.size() < count) {
      if (!this->Fill(until)) return std::nullopt;
    }
    std::string bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return bytes;
  }
  void Shut() { shutdown(this->descriptor, SHUT_RDWR); }

  bool closed = false;

 private:
  bool Fill(std::int64_t until) {
    pollfd wait{this->descriptor, POLLIN, 0};
    const std::int64_t left = until - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      this->closed = true;
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  int descriptor;
  std::string buffer;
};

inline sockaddr_in ToSockaddr(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Listens on a loopback address, with a port that is free if 0 is given, and
/// serves each connection in a thread.
class Listener {
 public:
  Listener(std::string ip, int wanted_port,
           std::function<void(std::shared_ptr<Socket>)> serve)
      : ip(std::move(ip)) {
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = ToSockaddr(this->ip, wanted_port);
    if (bind(this->descriptor, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0 ||
        listen(this->descriptor, 256) != 0) {
      throw CannotRun("cannot listen on " + this->ip);
    }
    socklen_t length = sizeof(address);
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                &length);
    this->port = ntohs(address.sin_port);
    std::thread([descriptor = this->descriptor, serve = std::move(serve)] {
      while (true) {
        const int accepted =
            accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) return;
        auto connection = std::make_shared<Socket>(accepted);
        std::thread([connection, serve] { serve(connection); }).detach();
      }
    }).detach();
  }
  std::string Address() const {
    return this->ip + ":" + std::to_string(this->port);
  }
  /// Refuses connections from now on.
  void Close() {
    shutdown(this->descriptor, SHUT_RDWR);
    close(this->descriptor);
  }

  std::string ip;
  int port = 0;

 private:
  int descriptor;
};

inline std::unique_ptr<Socket> Connect(const std::string& ip, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = ToSockaddr(ip, port);
  auto connection = std::make_unique<Socket>(descriptor);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    return nullptr;
  }
  return connection;
}

/// Loopback address of its own for a machine of this run.
inline std::string LoopbackAddress(int machine) {
  const auto id = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + id / 250 % 250) + "." +
         std::to_string(1 + id % 250) + "." + std::to_string(10 + machine);
}

/// Finds a free port, of which the next one is free as well.
inline int FreePort(const std::string& ip) {
  static unsigned next = static_cast<unsigned>(getpid()) * 7919U;
  for (int tried = 0; tried < 500; ++tried) {
    next = next * 1103515245U + 12345U;
    const int port = 20000 + static_cast<int>(next / 65536U % 12000U);
    bool free = true;
    for (const int candidate : {port, port + 1}) {
      const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in address = ToSockaddr(ip, candidate);
      free = free && bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0;
      close(descriptor);
    }
    if (free) return port;
  }
  throw CannotRun("no free port");
}

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

inline std::optional<HttpRequest> ReadHttp(Socket* connection) {
  const auto first = connection->Line(600'000);
  if (!first.has_value()) return std::nullopt;
  HttpRequest request;
  std::string target;
  std::istringstream(*first) >> request.method >> target;
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
      const std::size_t equals = pair.find('=');
      request.query[pair.substr(0, equals)] =
          equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
  }
  while (true) {
    const auto line = connection->Line(5000);
    if (!line.has_value()) return std::nullopt;
    if (line->empty()) break;
    const std::size_t colon = line->find(':');
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request.headers[name] = value;
  }
  const auto length = request.headers.find("content-length");
  if (length != request.headers.end()) {
    const auto body = connection->Bytes(std::stoul(length->second), 5000);
    if (!body.has_value()) return std::nullopt;
    request.body = *body;
  }
  return request;
}

inline std::string HttpText(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform: its store and the calls of duties.
class Platform {
 public:
  using Promote =
      std::function<bool(const std::string& service, const std::string& id)>;

  explicit Platform(const std::string& ip)
      : listener(ip, 0, [this](const std::shared_ptr<Socket>& connection) {
          this->Serve(connection);
        }) {}

  std::string Address() const { return this->listener.Address(); }

  /// Writes an object, as the operator and the databases do. The return of this
  /// call is the acknowledgement.
  void Put(const std::string& kind, const std::string& name, const json& spec) {
    const std::scoped_lock lock(this->mutex);
    this->Change(kind, name, spec);
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) return;
    const json object = found->second;
    this->objects[kind].erase(found);
    this->history.push_back({++this->revision, kind, object, true});
    this->changed.notify_all();
  }
  std::optional<json> Get(const std::string& kind, const std::string& name) {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) return std::nullopt;
    return found->second;
  }

  Promote promote = [](const std::string&, const std::string&) {
    return false;
  };
  std::mutex mutex;

 private:
  struct Event {
    std::uint64_t revision;
    std::string kind;
    json object;
    bool deleted;
  };

  const json& Change(const std::string& kind, const std::string& name,
                     const json& spec) {
    json& object = this->objects[kind][name];
    const bool is_new = object.is_null();
    if (!is_new && object["spec"] == spec) return object;
    ++this->revision;
    if (is_new) {
      object = {{"meta",
                 {{"name", name},
                  {"created", this->revision},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"status", nullptr}};
    }
    object["meta"]["rev"] = this->revision;
    object["spec"] = spec;
    this->history.push_back({this->revision, kind, object, false});
    this->changed.notify_all();
    return object;
  }

  void Serve(const std::shared_ptr<Socket>& connection) {
    while (true) {
      const auto request = ReadHttp(connection.get());
      if (!request.has_value()) return;
      const std::string response = this->Answer(*request);
      if (!connection->Send(response)) return;
    }
  }

  std::string Answer(const HttpRequest& request) {
    if (request.path == "/promotion") {
      const json body = json::parse(request.body);
      const bool accepted = this->promote(body.at("service"), body.at("id"));
      const auto header = [&](const char* name) {
        const auto found = request.headers.find(name);
        return found == request.headers.end() ? std::string("none")
                                              : found->second;
      };
      Note("platform: POST /promotion service=" +
           body.at("service").get<std::string>() +
           " id=" + body.at("id").get<std::string>() + " holder=" +
           header("x-duty-holder") + " token=" + header("x-fencing-token") +
           (accepted ? " -> 200" : " -> 409"));
      return HttpText(accepted ? 200 : 409, "{}");
    }
    const std::string prefix = "/-/objects/";
    if (request.path.rfind(prefix, 0) != 0) return HttpText(404, "{}");
    const std::string rest = request.path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
    std::unique_lock lock(this->mutex);
    if (request.method == "GET" && request.query.contains("watch")) {
      return this->Watch(kind, request, &lock);
    }
    if (request.method == "GET" && name.empty()) {
      json items = json::array();
      for (const auto& [key, object] : this->objects[kind]) {
        if (request.query.contains("after") &&
            key <= request.query.at("after")) {
          continue;
        }
        items.push_back(object);
      }
      return HttpText(200, json{{"items", items},
                                {"hasMore", false},
                                {"storeRevision", this->revision}}
                               .dump());
    }
    if (request.method == "GET") {
      const auto found = this->objects[kind].find(name);
      return found == this->objects[kind].end()
                 ? HttpText(404, "{}")
                 : HttpText(200, found->second.dump());
    }
    const json body = json::parse(request.body);
    const std::string target =
        name.empty() ? body.at("meta").at("name").get<std::string>() : name;
    const auto found = this->objects[kind].find(target);
    const bool exists = found != this->objects[kind].end();
    if (request.method == "POST") {
      if (exists) return HttpText(409, found->second.dump());
      return HttpText(201, this->Change(kind, target, body.at("spec")).dump());
    }
    if (!exists) return HttpText(404, "{}");
    const json& meta = body.at("meta");
    if (meta.contains("rev") && meta["rev"] != found->second["meta"]["rev"]) {
      return HttpText(409, found->second.dump());
    }
    return HttpText(200, this->Change(kind, target, body.at("spec")).dump());
  }

  std::string Watch(const std::string& kind, const HttpRequest& request,
                    std::unique_lock<std::mutex>* lock) {
    const std::uint64_t after = std::stoull(request.query.at("watch"));
    const std::int64_t until = NowMs() + std::stoll(request.query.at("waitMs"));
    while (true) {
      json events = json::array();
      for (const Event& event : this->history) {
        if (event.revision <= after || event.kind != kind) continue;
        events.push_back(
            {{"object", event.object}, {"deleted", event.deleted}});
      }
      if (!events.empty() || NowMs() >= until) {
        return HttpText(
            200,
            json{{"events", events}, {"storeRevision", this->revision}}.dump());
      }
      this->changed.wait_for(*lock, std::chrono::milliseconds(100));
    }
  }

  std::condition_variable changed;
  std::uint64_t revision = 100;
  std::map<std::string, std::map<std::string, json>> objects;
  std::vector<Event> history;
  Listener listener;
};

struct Position {
  std::uint64_t term = 1;
  std::uint64_t number = 0;
  auto operator<=>(const Position&) const = default;
  std::string Text() const {
    return std::to_string(this->term) + "." + std::to_string(this->number);
  }
};

/// A statement that a database has run for a client.
struct Run {
  std::int64_t at_ms = 0;
  std::string database;
  std::string service;
  std::string tenant;
  std::string id;
  std::string text;
  std::uint64_t log_number = 0;
};

struct Commit {
  std::uint64_t term = 1;
  std::string id;
  std::string item;
  std::string data;
  std::int64_t at_ms = 0;
};

class Group;

/// One database of a service.
class Database {
 public:
  Database(Group* group, std::string id, std::string zone,
           const std::string& ip);
  std::string Address() const { return this->listener->Address(); }
  Position End() const { return {this->term, this->log.size()}; }

  Group* group;
  std::string id;
  std::string zone;
  bool primary = false;
  std::uint64_t term = 1;
  std::uint64_t held = 0;
  std::vector<Commit> log;
  std::size_t connections = 0;
  /// Runs. A database that has crashed refuses connections.
  bool up = true;
  /// Receives nothing from its primary.
  bool deaf = false;
  /// Crashes; the log is kept. Must be called with the group's lock held.
  void Crash();

 private:
  struct Session {
    std::string tenant;
    char state = 'I';
    bool read_only = false;
    std::vector<Commit> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared;
  };
  void Serve(const std::shared_ptr<Socket>& connection);
  std::string Execute(Session* session, const std::string& id,
                      std::string text);
  std::string Ready(const Session& session) const;

  std::unique_ptr<Listener> listener;
  std::uint64_t signatures = 0;
  std::set<Socket*> open;
};

/// The databases of a service, with replication that is acknowledged once one
/// replica has received a commit.
class Group {
 public:
  Group(Platform* platform, std::string service, std::string ip,
        std::int64_t lag_ms, std::int64_t promote_ms)
      : platform(platform),
        service(std::move(service)),
        lag_ms(lag_ms),
        promote_ms(promote_ms) {
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    for (int index = 0; index < 3; ++index) {
      this->members.push_back(std::make_unique<Database>(
          this, "i-" + this->service + "-" + std::to_string(index + 1),
          zones[static_cast<std::size_t>(index)], ip));
    }
    this->members[0]->primary = true;
    std::thread([this] {
      while (true) {
        SleepMs(5);
        const std::scoped_lock lock(this->mutex);
        this->CatchUp();
      }
    }).detach();
  }

  /// Writes the entry of a database in the store, as its heartbeat does.
  void Register(const Database& database) const {
    this->platform->Put("servers", database.id,
                        {{"service", this->service},
                         {"addr", database.Address()},
                         {"zone", database.zone},
                         {"version", "v1"},
                         {"slots", 5},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"dbRole", database.primary ? "primary" : "replica"},
                         {"born", 1700000000000},
                         {"seq", 1}});
  }
  void RegisterAll() const {
    for (const auto& member : this->members) this->Register(*member);
  }

  Database* Leader() const {
    Database* leader = nullptr;
    for (const auto& member : this->members) {
      if (member->up && member->primary &&
          (leader == nullptr || member->term > leader->term)) {
        leader = member.get();
      }
    }
    return leader;
  }

  bool Receives(const Database& replica, const Database& from) const {
    return replica.up && !replica.deaf && !replica.primary &&
           replica.held == 0 && replica.term <= from.term;
  }

  /// Appends commits to a primary's log and waits until a replica has them.
  /// Must be called with the lock held.
  bool Append(Database* database, const std::vector<Commit>& commits) {
    if (database != this->Leader()) return false;
    for (Commit commit : commits) {
      commit.term = database->term;
      commit.at_ms = NowMs();
      database->log.push_back(commit);
    }
    for (const auto& replica : this->members) {
      if (replica.get() == database || !this->Receives(*replica, *database)) {
        continue;
      }
      replica->log = database->log;
      replica->term = database->term;
      return true;
    }
    return false;
  }

  void CatchUp() {
    const Database* leader = this->Leader();
    if (leader == nullptr) return;
    const std::int64_t until = NowMs() - this->lag_ms;
    for (const auto& replica : this->members) {
      if (replica.get() == leader || !this->Receives(*replica, *leader))
        continue;
      replica->term = leader->term;
      while (replica->log.size() < leader->log.size() &&
             leader->log[replica->log.size()].at_ms <= until) {
        replica->log.push_back(leader->log[replica->log.size()]);
      }
    }
  }

  bool PromoteMember(const std::string& id) {
    const std::scoped_lock lock(this->mutex);
    for (const auto& member : this->members) {
      if (member->id != id) continue;
      if (!member->up) return false;
      if (member->primary) return true;
      Database* named = member.get();
      std::thread([this, named] {
        SleepMs(this->promote_ms);
        const std::scoped_lock inner(this->mutex);
        std::uint64_t highest = 0;
        for (const auto& other : this->members) {
          highest = std::max(highest, other->term);
        }
        if (this->on_promoted) this->on_promoted(*named);
        named->primary = true;
        named->term = highest + 1;
        named->held = 0;
        for (const auto& other : this->members) {
          if (other.get() == named || !other->up) continue;
          if (!other->primary) other->held = 0;
          if (other->log.size() > named->log.size()) {
            other->log = named->log;
          }
          other->primary = false;
          other->term = named->term;
          this->Register(*other);
        }
        this->Register(*named);
        Note("database " + named->id + " leads term " +
             std::to_string(named->term));
      }).detach();
      return true;
    }
    return false;
  }

  void OnRun(const Database& database, const std::string& tenant,
             const std::string& id, const std::string& text) {
    Run run{NowMs(), database.id, this->service,      tenant,
            id,      text,        database.log.size()};
    this->runs.push_back(run);
    Note("database " + database.id + " runs " + id + " " + text.substr(0, 60) +
         " tenant=" + tenant);
  }

  /// The run of a statement; none if no database has run it.
  std::optional<Run> FindRun(const std::string& id) {
    const std::scoped_lock lock(this->mutex);
    for (const Run& run : this->runs) {
      if (run.id == id) return run;
    }
    return std::nullopt;
  }

  Platform* platform;
  std::string service;
  std::int64_t lag_ms;
  std::int64_t promote_ms;
  std::mutex mutex;
  std::vector<std::unique_ptr<Database>> members;
  std::vector<Run> runs;
  /// Called when a promotion takes effect, with the lock held.
  std::function<void(const Database& promoted)> on_promoted;
  /// Rows of a READ; one row with the latest data of the item by default.
  std::function<std::string(const std::string& item)> rows;
};

inline Database::Database(Group* group, std::string id, std::string zone,
                          const std::string& ip)
    : group(group), id(std::move(id)), zone(std::move(zone)) {
  this->listener = std::make_unique<Listener>(
      ip, 0, [this](const std::shared_ptr<Socket>& connection) {
        this->Serve(connection);
      });
}

inline void Database::Crash() {
  Note("database " + this->id + " crashes with log end " + this->End().Text());
  this->up = false;
  this->listener->Close();
  for (Socket* connection : this->open) connection->Shut();
}

inline std::string Database::Ready(const Session& session) const {
  return std::string("READY ") + session.state + " " + this->End().Text() +
         "\r\n";
}

inline void Database::Serve(const std::shared_ptr<Socket>& connection) {
  Session session;
  const auto first = connection->Line(10'000);
  if (!first.has_value()) return;
  std::istringstream words(*first);
  std::string word;
  std::string name;
  std::string expected;
  words >> word >> name >> session.tenant >> expected;
  if (word != "STARTUP" || name != this->group->service ||
      (!expected.empty() && expected != this->id)) {
    connection->Send("ERROR WRONGNODE " + this->id + "\r\n");
    return;
  }
  {
    const std::scoped_lock lock(this->group->mutex);
    if (!this->up) return;
    ++this->connections;
    this->open.insert(connection.get());
    connection->Send(this->Ready(session));
  }
  while (true) {
    const auto line = connection->Line(600'000);
    if (!line.has_value() || *line == "QUIT") break;
    std::istringstream query(*line);
    std::string id;
    query >> word >> id;
    std::string text;
    std::getline(query >> std::ws, text);
    std::string reply;
    {
      const std::scoped_lock lock(this->group->mutex);
      if (!this->up) break;
      reply = this->Execute(&session, id, text);
    }
    if (reply.empty()) continue;
    if (!connection->Send(reply)) break;
  }
  const std::scoped_lock lock(this->group->mutex);
  this->open.erase(connection.get());
  --this->connections;
}

inline std::string Database::Execute(Session* session, const std::string& id,
                                     std::string text) {
  const auto done = [&](const std::string& rows) {
    return rows + "COMPLETE -\r\n" + this->Ready(*session);
  };
  const auto refuse = [&](const std::string& code) {
    if (session->state == 'T') session->state = 'E';
    return "ERROR " + code + " " + this->id + "\r\n" + this->Ready(*session);
  };
  const auto served = [&](const std::string& rows) {
    return rows + "COMPLETE " + this->id + "." +
           std::to_string(++this->signatures) + "." + id + "\r\n" +
           this->Ready(*session);
  };
  std::istringstream words(text);
  std::string verb;
  words >> verb;
  if (verb == "AFTER") {
    Position after;
    char dot = 0;
    words >> after.term >> dot >> after.number >> verb;
    if (this->End() < after) return refuse("LAGGING");
    text = text.substr(text.find(verb));
  }
  const auto status = [&] {
    std::ostringstream row;
    row << "ROW " << (this->primary ? "primary " : "replica ") << this->term
        << " " << this->End().Text() << " " << this->held << " "
        << this->group->lag_ms << " 0 " << this->connections << "\r\n";
    return done(row.str());
  };
  if (verb == "STATUS") return status();
  if (verb == "PAUSE") {
    std::uint64_t wanted = 0;
    words >> wanted;
    if (!this->primary && wanted > this->term) {
      this->held = std::max(this->held, wanted);
    }
    return status();
  }
  if (verb == "RESUME") {
    this->held = 0;
    return status();
  }
  if (verb == "STEPDOWN") {
    std::uint64_t wanted = 0;
    words >> wanted;
    if (this->primary && this->term < wanted) this->primary = false;
    return status();
  }
  if (verb == "RESET") {
    session->values.clear();
    session->prepared.clear();
    return done("");
  }
  if (verb == "SET") {
    std::string name;
    words >> name;
    std::getline(words >> std::ws, session->values[name]);
    return done("");
  }
  if (verb == "PREPARE") {
    std::string name;
    words >> name;
    std::getline(words >> std::ws, session->prepared[name]);
    return done("");
  }
  if (verb == "DEALLOC") {
    std::string name;
    words >> name;
    session->prepared.erase(name);
    return done("");
  }
  if (verb == "BEGIN") {
    session->read_only = text == "BEGIN READ";
    if (!session->read_only && !this->primary) return refuse("READONLY");
    session->state = 'T';
    session->writes.clear();
    return done("");
  }
  if (verb == "ROLLBACK") {
    session->state = 'I';
    session->writes.clear();
    return done("");
  }
  bool writes = verb == "WRITE";
  std::string item;
  if (verb == "EXECUTE") {
    std::string name;
    words >> name >> item;
    const auto found = session->prepared.find(name);
    if (found == session->prepared.end()) return refuse("NOSTMT");
    writes = found->second.rfind("WRITE", 0) == 0;
  } else if (verb != "COMMIT") {
    words >> item;
  }
  if (session->state == 'E') return refuse("MALFORMED");
  const bool plain = session->state == 'T' && !session->read_only;
  const bool empty_commit = verb == "COMMIT" && session->writes.empty();
  if (!this->primary && (writes || (plain && !empty_commit))) {
    return refuse("READONLY");
  }
  if (writes) {
    std::string data;
    words >> data;
    session->writes.push_back({this->term, id, item, data, 0});
  }
  const bool commits = verb == "COMMIT" || (writes && session->state == 'I');
  this->group->OnRun(*this, session->tenant, id, text);
  if (verb == "COMMIT") session->state = 'I';
  if (commits && !session->writes.empty()) {
    const bool received = this->group->Append(
        this, std::exchange(session->writes, std::vector<Commit>()));
    if (!received) return "";
  }
  if (writes || commits) return served("");
  if (this->group->rows) return served(this->group->rows(item));
  std::string latest = "none";
  for (const std::vector<Commit>* part : {&this->log, &session->writes}) {
    for (const Commit& commit : *part) {
      if (commit.item == item) latest = commit.data;
    }
  }
  return served("ROW " + latest + "\r\n");
}

/// A proxy process, on a machine (loopback address) of its own.
class ProxyProcess {
 public:
  ProxyProcess(const std::string& folder, int machine, std::string zone,
               const Platform& platform)
      : name("client_facing-" + zone + "-" + std::to_string(machine)),
        ip(LoopbackAddress(machine)),
        settings(folder + "/node-" + std::to_string(machine) + ".json"),
        log(folder + "/node-" + std::to_string(machine) + ".log") {
    this->frontend = FreePort(this->ip);
    this->ready = FreePort(this->ip);
    const int peers = FreePort(this->ip);
    const std::string contact = platform.Address();
    const json document = {
        {"node", this->name},
        {"role", "proxy"},
        {"machineClass", "client_facing"},
        {"serves", {"client_facing"}},
        {"ip", this->ip},
        {"zone", zone},
        {"region", "region-one"},
        {"zones",
         {{"zone-a", "region-one"},
          {"zone-b", "region-one"},
          {"zone-c", "region-one"}}},
        {"listen",
         {{"frontend", this->ip + ":" + std::to_string(this->frontend)},
          {"ready", this->ip + ":" + std::to_string(this->ready)}}},
        {"portRange", {peers, peers + 1}},
        {"seeds", json::array()},
        {"bootstrap", true},
        {"lossCounts", false},
        {"limits",
         {{"cpuShare", 0.25},
          {"cores", 1},
          {"memoryMb", 260},
          {"fdLimit", 4200},
          {"linkMbps", 1000.0},
          {"diskMb", 0}}},
        {"dataDir", nullptr},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeatMs", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "sql", "tenants",
          "quota", "platform"}},
        {"faultTolerance", {{"nodes", 2}, {"zones", 0}, {"regions", 0}}},
        {"contractParams",
         {{"seedLagS", 3},
          {"reuseAfterS", 2},
          {"contactMs", 5000},
          {"ackMs", 6000},
          {"catchUpS", 4},
          {"drainMs", 7000},
          {"graceS", 6},
          {"lossSlackMs", 200},
          {"configApplyMs", 4000},
          {"downgradeSlackMs", 250},
          {"outerBoundMs", 15000},
          {"strictRevoke", false},
          {"revokeMs", 5000},
          {"quotaWindowS", 5},
          {"quotaOver", 0.1},
          {"quotaSlack", 20},
          {"recoverS", 12},
          {"requireFence", false},
          {"thawSlackMs", 300}}},
        {"platform",
         {{"addr", contact},
          {"form", "objects"},
          {"writesPerS", 400},
          {"readsPerS", 2000},
          {"historyS", 20},
          {"valueBytes", 1048576},
          {"ttlMinMs", 1000}}},
        {"cloudApi",
         {{"addr", contact},
          {"ratePerS", 50.0},
          {"duties", {"failover"}},
          {"dutyPerS", 50.0}}}};
    std::ofstream(this->settings) << document.dump(2);
  }
  ~ProxyProcess() { this->Kill(); }

  /// Starts the command of the deploy file.
  void Start() {
    const int output = open(this->log.c_str(),
                            O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    const std::string variable = "CAMPHORFERRY_NODE_FILE=" + this->settings;
    const pid_t parent = getpid();
    this->pid = fork();
    if (this->pid == 0) {
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(127);
      const char* program =
          "target/platform/camphorferry-proxy";  // the deploy file's
      char* const arguments[] = {const_cast<char*>(program), nullptr};
      char* const environment[] = {const_cast<char*>(variable.c_str()),
                                   const_cast<char*>("PATH=/usr/bin:/bin"),
                                   nullptr};
      execve(program, arguments, environment);
      _exit(127);
    }
    close(output);
    Note("start " + this->name);
  }
  void Signal(int number) const {
    if (this->pid > 0) kill(this->pid, number);
  }
  void Kill() {
    if (this->pid <= 0) return;
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = 0;
  }
  /// Returns the wait status if the process has ended by itself.
  std::optional<int> Ended() {
    int status = 0;
    if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = 0;
      return status;
    }
    return std::nullopt;
  }
  std::size_t ResidentMegabytes() const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1048576;
  }
  bool IsReady() const {
    const auto probe = Connect(this->ip, this->ready);
    if (probe == nullptr) return false;
    probe->Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto status = probe->Line(1000);
    return status.has_value() && status->find(" 200") != std::string::npos;
  }
  void AwaitReady(std::int64_t timeout_ms = 20'000) const {
    const std::int64_t until = NowMs() + timeout_ms;
    while (!this->IsReady()) {
      if (NowMs() > until) throw CannotRun(this->name + " is not ready");
      SleepMs(100);
    }
    Note(this->name + " is ready");
  }

  std::string name;
  std::string ip;
  int frontend = 0;
  int ready = 0;
  pid_t pid = 0;

 private:
  std::string settings;
  std::string log;
};

/// Answer to a client's message: all lines, the last of which is READY or, for
/// a refused start, ERROR.
struct Answer {
  std::vector<std::string> lines;
  bool complete = false;
  bool Success() const {
    for (const std::string& line : this->lines) {
      if (line.rfind("ERROR", 0) == 0) return false;
    }
    return this->complete;
  }
  std::string Text() const {
    std::string text;
    for (const std::string& line : this->lines) {
      if (text.size() > 400) return text + " | ...";
      text += (text.empty() ? "" : " | ") + line.substr(0, 80);
    }
    return this->complete ? text : text + " (no complete answer)";
  }
};

/// A client with one session.
class Client {
 public:
  Client(std::string label, const ProxyProcess& proxy)
      : label(std::move(label)), socket(Connect(proxy.ip, proxy.frontend)) {}

  Answer Start(const std::string& database, const std::string& key) {
    return this->Ask("STARTUP " + database + " " + key, true, 3000);
  }
  /// Sends a statement with a new id, which is returned in `id`.
  Answer Query(const std::string& text, std::string* id = nullptr,
               std::int64_t timeout_ms = 10'000) {
    static std::atomic<std::uint64_t> next{1};
    char name[32];
    std::snprintf(name, sizeof(name), "%08llx%08llx",
                  static_cast<unsigned long long>(getpid()),
                  static_cast<unsigned long long>(next++));
    if (id != nullptr) *id = name;
    return this->Ask("QUERY " + std::string(name) + " " + text, false,
                     timeout_ms);
  }
  bool Connected() const { return this->socket != nullptr; }

  std::int64_t sent_at = 0;
  std::string label;

 private:
  Answer Ask(const std::string& line, bool start, std::int64_t timeout_ms) {
    Answer answer;
    if (this->socket == nullptr) return answer;
    this->sent_at = NowMs();
    Note("client " + this->label + " sends " + line.substr(0, 90));
    this->socket->Send(line + "\r\n");
    while (true) {
      const auto next = this->socket->Line(timeout_ms);
      if (!next.has_value()) break;
      answer.lines.push_back(*next);
      answer.complete = next->rfind("READY", 0) == 0 ||
                        (start && next->rfind("ERROR", 0) == 0);
      if (answer.complete) break;
    }
    Note("client " + this->label + " gets  " + answer.Text());
    return answer;
  }
  std::unique_ptr<Socket> socket;
};

/// A small deployment: platform, databases of a service, proxies. Is never
/// destroyed, because threads of the stand-ins use it until the end.
struct Deployment {
  Deployment(const std::string& folder, int proxies, std::int64_t lag_ms = 20,
             std::int64_t promote_ms = 1000)
      : platform(LoopbackAddress(100)),
        group(&this->platform, "ledger7f", LoopbackAddress(101), lag_ms,
              promote_ms),
        second(&this->platform, "ledger8g", LoopbackAddress(102), lag_ms,
               promote_ms) {
    this->platform.promote = [this](const std::string& service,
                                    const std::string& id) {
      Group& named =
          service == this->group.service ? this->group : this->second;
      return service == named.service && named.PromoteMember(id);
    };
    this->group.RegisterAll();
    this->second.RegisterAll();
    const char* zones[] = {"zone-a", "zone-b", "zone-c"};
    for (int index = 0; index < proxies; ++index) {
      this->proxies.push_back(std::make_unique<ProxyProcess>(
          folder, index + 1, zones[index % 3], this->platform));
    }
    at_end.emplace_back([this] {
      for (const auto& proxy : this->proxies) proxy->Kill();
    });
  }
  void StartAll() {
    for (const auto& proxy : this->proxies) proxy->Start();
    for (const auto& proxy : this->proxies) proxy->AwaitReady();
    // All machines have found each other, and the platform is stable.
    SleepMs(6000);
  }
  /// A configuration with one route of each kind.
  json Configuration(int version, const json& tenants) const {
    json routes = json::array();
    const auto add = [&](const char* name, const char* host, const char* kind,
                         int timeout, int objective, bool anonymous) {
      json route = {{"name", name},         {"host", host},
                    {"pathPrefix", "/"},    {"kind", kind},
                    {"timeoutMs", timeout}, {"sloMs", objective},
                    {"priority", 1},        {"service", this->group.service},
                    {"maxAttempts", 2},     {"anonymous", anonymous}};
      if (std::string(kind) == "bounded_staleness") {
        route["maxStalenessMs"] = 1500;
      } else if (std::string(kind) == "read_your_writes") {
        route["maxStalenessMs"] = 2500;
      }
      routes.push_back(route);
    };
    add("r-confirm", "confirm1", "primary", 1000, 800, false);
    routes.back()["service"] = this->confirm_service;
    add("r-view", "view2", "bounded_staleness", 3000, 1200, false);
    add("r-assign", "assign3", "read_your_writes", 1000, 1500, false);
    add("r-open", "open4", "primary", 1000, 800, true);
    return {
        {"version", version},
        {"routes", routes},
        {"services", {this->Service(this->group), this->Service(this->second)}},
        {"limits",
         {{"headerBytes", 16384},
          {"bodyBytes", 262144},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000},
          {"txIdleMs", 3000}}},
        {"tenants", tenants}};
  }
  static json Service(const Group& declared) {
    return {{"name", declared.service},
            {"healthPath", "/healthz"},
            {"maxConns", 55},
            {"protocol", "h1"},
            {"tls", false},
            {"syncReplicas", 1}};
  }
  /// The operator writes a configuration; returns when it is acknowledged.
  std::int64_t PutConfiguration(int version, const json& tenants) {
    this->platform.Put("config", "main", this->Configuration(version, tenants));
    const std::int64_t acknowledged = NowMs();
    Note("operator: configuration " + std::to_string(version) +
         " is acknowledged, confirm1 -> " + this->confirm_service +
         ", tenants " + tenants.dump());
    return acknowledged;
  }

  Platform platform;
  Group group;
  Group second;
  /// Service of the route confirm1.
  std::string confirm_service = "ledger7f";
  std::vector<std::unique_ptr<ProxyProcess>> proxies;
};

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if it couldn't run.
/// Arguments: the folder of the case, and 0 or 1 for TROUBLE.
inline int RunCase(
    int argc, char** argv,
    const std::function<bool(const std::string& folder, bool trouble)>& holds) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 3) return 2;
  Record file(std::string(argv[1]) + "/record.txt");
  record = &file;
  const bool trouble = std::string(argv[2]) != "0";
  char pattern[] = "/tmp/review-XXXXXX";
  const char* folder = mkdtemp(pattern);
  if (folder == nullptr) return 2;
  int result = 2;
  try {
    const bool held = holds(folder, trouble);
    Note(held ? "the rule held" : "the rule was BROKEN");
    result = held ? 0 : 1;
  } catch (const std::exception& error) {
    Note(std::string("the case could not run: ") + error.what());
    result = 2;
  }
  for (const auto& end : at_end) end();
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    std::filesystem::remove_all(folder);
  } else {
    std::cerr << folder << "\n";
  }
  std::cout << (result == 0   ? "held"
                : result == 1 ? "BROKEN"
                              : "could not run")
            << std::endl;
  // Threads of the stand-ins still run.
  std::_Exit(result);
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_H_
