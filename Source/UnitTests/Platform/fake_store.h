#ifndef CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_STORE_H_
#define CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_STORE_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "Session/session.h"

namespace camphorferry::platform {

/// How the store responds to calls.
enum class StoreState {
  kUp,
  /// Every call gets 503.
  kBusy,
  /// Calls get no response.
  kSilent,
  /// Calls get no response, also after the state has changed.
  kLosesCalls,
  /// Connections are closed without a response, also those of watches.
  kResets,
  /// Responses are delayed.
  kSlow,
  /// Writes take effect, and their responses are lost.
  kLosesAnswers
};

/// A promotion call, accepted or not.
struct PromotionCall {
  std::string service;
  std::string endpoint;
  std::string holder;
  std::uint64_t token = 0;
};

/// Fake of the platform's object store and promotion API, as far as the proxy
/// uses them: lists, watches, conditional writes, a change history that can be
/// discarded, and a return to an earlier state.
class FakeStore {
 public:
  /// Carries out a promotion; returns false if the database cannot be promoted.
  using Promoter =
      std::function<bool(const std::string& service, const std::string& id)>;

  FakeStore(connection::EventLoop* loop, Promoter promoter);

  connection::SocketAddress Address() const;

  void SetState(StoreState changed);

  /// Discards the change history, so that watches from older revisions get 410.
  void DropHistory();

  /// Returns to the state at an earlier revision, as a store does that comes
  /// back from a copy: later changes are lost, their revisions are given out
  /// again, and all answers state a later era from now on. None states an era
  /// before the first call.
  void Restore(std::uint64_t earlier_revision);

  /// Revision of the last change.
  std::uint64_t Revision() const { return this->revision; }

  /// Writes the configuration, as the operator does.
  void Put(const session::DirectoryConfiguration& configuration);

  /// Writes the registration of a database, as the database does.
  void Put(const session::GroupMember& member);

  /// Writes the registration of a database as JSON text, which need not be
  /// valid.
  void PutMemberText(const std::string& name, const std::string& spec);

  /// Number of calls received.
  std::size_t Calls() const { return this->calls; }

  /// All promotion calls, in order of arrival.
  const std::vector<PromotionCall>& PromotionCalls() const {
    return this->promotion_calls;
  }

 private:
  using Responder = std::shared_ptr<connection::HttpResponder>;
  using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

  void Put(const std::string& kind, const std::string& name,
           nlohmann::json spec);
  void Send(const Responder& responder, connection::HttpResponse response);

  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    nlohmann::json object;
  };

  struct Watcher {
    std::string kind;
    std::uint64_t after = 0;
    Responder responder;
    common::SteadyTime until;
  };

  void OnRequest(const connection::HttpRequest& request,
                 const Responder& responder);
  void Answer(const connection::HttpRequest& request,
              const Responder& responder);
  connection::HttpResponse Serve(const connection::HttpRequest& request);
  connection::HttpResponse ServeChange(const connection::HttpRequest& request,
                                       const std::string& kind,
                                       const std::string& name);
  connection::HttpResponse ServePromotion(
      const connection::HttpRequest& request);
  connection::HttpResponse TextResponse(const nlohmann::json& body) const;
  nlohmann::json ListObjects(const std::string& kind) const;
  nlohmann::json EventsFor(const Watcher& watcher) const;
  void AnswerWatchers();

  connection::EventLoop* loop;
  Promoter promoter;
  StoreState state = StoreState::kUp;
  std::uint64_t revision = 100;
  std::uint64_t history_start = 100;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects;
  /// Stated by all answers once the store has been restored.
  std::optional<std::uint64_t> era;
  /// All changes; watches get those after history_start.
  std::vector<Change> history;
  /// Texts of specifications by the JSON string that stands for them in
  /// objects.
  std::map<std::string, std::string> texts;
  std::list<Watcher> watchers;
  /// Calls that stay unanswered until the state changes.
  std::vector<Responder> unanswered;
  /// Calls that are never answered.
  std::vector<Responder> lost;
  std::size_t calls = 0;
  std::vector<PromotionCall> promotion_calls;
  std::unique_ptr<connection::HttpServer> server;
  std::unique_ptr<connection::Timer> watch_timer;
};

}  // namespace camphorferry::platform

#endif  // CAMPHORFERRY_UNIT_TESTS_PLATFORM_FAKE_STORE_H_
