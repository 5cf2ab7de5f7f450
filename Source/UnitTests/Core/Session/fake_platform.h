#ifndef CAMPHORFERRY_UNIT_TESTS_SESSION_FAKE_PLATFORM_H_
#define CAMPHORFERRY_UNIT_TESTS_SESSION_FAKE_PLATFORM_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Session/session.h"

namespace camphorferry::session {

/// Platform whose list and watch calls are answered by the test, apart from
/// lists with a prepared answer. All other calls are answered at once.
class FakePlatform : public Platform {
 public:
  using DirectoryCallback = std::function<void(DirectoryResult)>;

  struct WatchCall {
    StoreRevision after;
    common::Duration wait = common::Duration::zero();
    DirectoryFreshness freshness = DirectoryFreshness::kLatest;
    DirectoryCallback done;
  };

  struct Order {
    common::ServiceId service;
    common::EndpointId endpoint;
    std::uint64_t token = 0;
  };

  void SetEraObserver(std::function<void(std::uint64_t)> observer) override {
    this->era_observer = std::move(observer);
  }

  void List(DirectoryKind kind, DirectoryFreshness freshness,
            DirectoryCallback done) override {
    this->list_freshness[kind].push_back(freshness);
    const auto answer = this->list_answers.find(kind);
    if (answer == this->list_answers.end()) {
      this->lists[kind].push_back(std::move(done));
    } else {
      done(this->store_down ? StoreUnavailable{"down"} : answer->second());
    }
  }

  void Watch(DirectoryKind kind, StoreRevision after, common::Duration wait,
             DirectoryFreshness freshness, DirectoryCallback done) override {
    this->watches[kind].push_back({after, wait, freshness, std::move(done)});
  }

  DirectoryValue Decode(DirectoryKind /*kind*/, const std::string& /*name*/,
                        const std::string& document) const override {
    const auto found = this->documents.find(document);
    if (found == this->documents.end()) return UnreadableObject{"unknown"};
    return found->second;
  }

  void RegisterHost(const FleetHost& host,
                    std::function<void(HostRegistration)> done) override {
    const bool is_first = std::none_of(
        this->registered.begin(), this->registered.end(),
        [&](const FleetHost& other) { return other.id == host.id; });
    this->registered.push_back(host);
    done(is_first ? HostRegistration::kFirst : HostRegistration::kRepeated);
  }

  void ReadPromotionLease(
      std::function<void(PromotionLeaseResult)> done) override {
    if (this->store_down) {
      done(StoreUnavailable{"down"});
      return;
    }
    this->lease_record.revision.era = this->era;
    done(this->lease_record);
  }

  void WritePromotionLease(
      const PromotionLeaseRecord& wanted,
      std::function<void(PromotionLeaseResult)> done) override {
    if (this->store_down) {
      done(StoreUnavailable{"down"});
      return;
    }
    this->lease_record.revision.era = this->era;
    if (wanted.revision.number != this->lease_record.revision.number) {
      const PromotionLeaseConflict conflict{this->lease_record};
      if (this->answers_later) {
        this->later.emplace_back(
            [conflict, done = std::move(done)] { done(conflict); });
      } else {
        done(conflict);
      }
      return;
    }
    this->lease_record = wanted;
    this->lease_record.revision = {this->era, ++this->revision};
    if (this->loses_answers) {
      done(StoreUnavailable{"no answer"});
    } else if (this->answers_later) {
      this->later.emplace_back([record = this->lease_record,
                                done = std::move(done)] { done(record); });
    } else {
      done(this->lease_record);
    }
  }

  /// Answers the writes of the lease that wait, also those that follow.
  void AnswerAll() {
    while (!this->later.empty()) {
      const std::function<void()> answer = std::move(this->later.front());
      this->later.pop_front();
      answer();
    }
  }

  void ConnectForPromotion(
      std::function<void(PromoteCall promote)> done) override {
    if (this->promotions_down) {
      done({});
      return;
    }
    done([this](const common::ServiceId& service,
                const common::EndpointId& endpoint,
                const PromotionLeaseRecord& used,
                const std::function<void(PromotionAnswer)>& answered) {
      this->orders.push_back({service, endpoint, FencingToken(used)});
      if (this->on_order) this->on_order(endpoint);
      answered(this->leaves_orders_unanswered ? PromotionAnswer::kNoAnswer
                                              : PromotionAnswer::kAccepted);
    });
  }

  std::function<void(std::uint64_t)> era_observer;
  std::map<DirectoryKind, std::deque<DirectoryCallback>> lists;
  std::map<DirectoryKind, std::deque<WatchCall>> watches;
  /// Functions that return the answers to listings of a kind.
  std::map<DirectoryKind, std::function<DirectoryResult()>> list_answers;
  /// The freshness that each listing has requested.
  std::map<DirectoryKind, std::vector<DirectoryFreshness>> list_freshness;
  /// Values of the documents that other daemons relay.
  std::map<std::string, DirectoryValue> documents;
  std::vector<FleetHost> registered;
  PromotionLeaseRecord lease_record;
  /// Era of the answers about the lease.
  std::uint64_t era = 0;
  std::uint64_t revision = 10;
  bool store_down = false;
  /// The promotion API gives no answer.
  bool promotions_down = false;
  /// The promotion API gives no answer to orders.
  bool leaves_orders_unanswered = false;
  /// Writes of the lease take effect without an answer.
  bool loses_answers = false;
  /// Writes of the lease are answered by AnswerAll.
  bool answers_later = false;
  std::deque<std::function<void()>> later;
  std::vector<Order> orders;
  std::function<void(const common::EndpointId&)> on_order;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_UNIT_TESTS_SESSION_FAKE_PLATFORM_H_
