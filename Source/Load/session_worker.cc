#include "Load/session_worker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorferry::load {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kAnswerTimeout(6);
constexpr std::chrono::seconds kSettleTimeout(20);
constexpr std::chrono::milliseconds kRetryPause(50);
/// Part of the requests for which a session moves to another daemon.
constexpr double kMoveShare = 0.2;
constexpr int kMaxVerifyAttempts = 100;
/// Daemons tried for one request until one takes the connection.
constexpr int kMaxConnectAttempts = 16;
constexpr std::uint32_t kScanLimit = 1000;

json BalanceRead(const std::string& account) {
  return {{{"op", "get"}, {"table", "balance"}, {"key", account}},
          {{"op", "get"}, {"table", "owner"}, {"key", account}}};
}

std::string PaddedNumber(std::uint64_t number) {
  std::string text = std::to_string(number);
  text.insert(0, 8 - std::min<std::size_t>(8, text.size()), '0');
  return text;
}

}  // namespace

SessionWorker::SessionWorker(LoadContext* context,
                             const WorkspaceLoad* workspace,
                             std::uint32_t number)
    : context(context),
      workspace(workspace),
      counts(&context->statistics->workspaces[workspace->name]),
      account(context->plan->run + "." + workspace->name + "." +
              std::to_string(number)),
      route(workspace->routes[number % workspace->routes.size()]),
      random(context->plan->seed ^ std::hash<std::string>()(this->account)) {}

void SessionWorker::Start() {
  const double spread = std::uniform_real_distribution<>(0, 1)(this->random);
  this->next_due =
      this->context->start +
      std::chrono::duration_cast<common::Duration>(
          std::chrono::duration<double>(spread * this->workspace->sessions /
                                        this->workspace->rate));
  this->ScheduleNext();
}

void SessionWorker::ScheduleNext() {
  const common::SteadyTime now = common::SteadyNow();
  if (std::max(now, this->next_due) >= this->context->end) {
    this->finished = true;
    return;
  }
  const common::Duration delay = std::max<common::Duration>(
      this->next_due - now, common::Duration::zero());
  this->context->loop->RunLater(delay, [this] { this->StartRequest(); });
}

void SessionWorker::StartRequest() {
  const std::chrono::duration<double> interval(this->workspace->sessions /
                                               this->workspace->rate);
  // A session that fell behind does not catch up in a burst of its own.
  this->next_due = std::max(
      this->next_due + std::chrono::duration_cast<common::Duration>(interval),
      common::SteadyNow());
  this->request_start = common::SteadyNow();
  ++this->counts->asked;
  if (this->next_write == 1 || this->Chance(this->context->plan->write_share)) {
    this->StartWrite();
  } else {
    this->StartRead();
  }
}

void SessionWorker::StartRead() {
  const bool aged = this->Chance(this->context->plan->aged_share);
  connection::HttpRequest request =
      this->NewRequest(BalanceRead(this->account), true);
  if (aged) {
    request.headers.erase("Camphorferry-Session");
    request.headers["Camphorferry-Max-Age-Ms"] = std::to_string(
        common::ToMilliseconds(this->context->plan->max_age).count());
  }
  this->Send(request, [this, aged](const connection::HttpResult& result) {
    this->OnReadAnswer(aged, result);
  });
}

void SessionWorker::StartWrite() {
  const std::uint64_t number = this->next_write;
  const json operations = {{{"op", "put"},
                            {"table", "contribution"},
                            {"key", this->account + "/" + PaddedNumber(number)},
                            {"value", number}},
                           {{"op", "add"},
                            {"table", "balance"},
                            {"key", this->account},
                            {"amount", 1}},
                           {{"op", "put"},
                            {"table", "owner"},
                            {"key", this->account},
                            {"value", this->account}}};
  this->write = this->NewRequest(operations, false);
  this->write_keyed = !this->Chance(this->context->plan->unkeyed_share);
  this->write_unsettled = false;
  if (this->write_keyed) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        common::WallNow().time_since_epoch());
    this->write.headers["Idempotency-Key"] =
        std::to_string(seconds.count()) + "-" +
        common::Sha256Hex(this->account + "/" + std::to_string(number))
            .substr(0, 32);
  }
  this->SendWrite();
}

void SessionWorker::SendWrite() {
  this->Send(this->write, [this](const connection::HttpResult& result) {
    this->OnWriteAnswer(result);
  });
}

void SessionWorker::OnWriteAnswer(const connection::HttpResult& result) {
  const json body = this->TakeBody(result);
  const std::string outcome = body.value("outcome", std::string());
  const auto* failure = std::get_if<connection::HttpFailure>(&result);
  const bool not_sent =
      failure != nullptr && *failure == connection::HttpFailure::kNotSent;
  if (outcome == "done") {
    this->EndWrite(WriteEnd::kAcknowledged);
    return;
  }
  // After an unknown attempt, a later "not run" says nothing about it.
  const bool settled_not_run = outcome == "not_run" && !this->write_unsettled;
  if (settled_not_run) {
    this->CountOutcome(body);
    this->EndWrite(WriteEnd::kNotRun);
    return;
  }
  if (!not_sent && outcome != "not_run") this->write_unsettled = true;
  const bool in_time =
      common::SteadyNow() < this->request_start + kSettleTimeout;
  const bool may_repeat = this->write_keyed || not_sent;
  if (may_repeat && in_time) {
    this->context->loop->RunLater(kRetryPause, [this] { this->SendWrite(); });
    return;
  }
  this->CountOutcome(body);
  this->EndWrite(this->write_unsettled ? WriteEnd::kUnknown
                                       : WriteEnd::kNotRun);
}

void SessionWorker::EndWrite(WriteEnd end) {
  this->context->ledger->Record(this->account, this->next_write++, end);
  const common::SteadyTime now = common::SteadyNow();
  if (end == WriteEnd::kAcknowledged) {
    ++this->counts->served;
    this->counts->admitted.push_back(now);
    this->context->statistics->writes.Record(now - this->request_start);
    const auto [last, first] =
        this->context->last_write.try_emplace(this->route, now);
    if (!first) {
      common::Duration& gap =
          this->context->statistics->write_gaps[this->route];
      gap = std::max<common::Duration>(gap, now - last->second);
      last->second = now;
    }
  }
  this->ScheduleNext();
}

void SessionWorker::OnReadAnswer(bool aged,
                                 const connection::HttpResult& result) {
  // An aged read is sent without the session, so its token would set the
  // session back.
  const std::string before = this->session;
  const json body = this->TakeBody(result);
  if (aged) this->session = before;
  if (body.value("outcome", std::string()) == "done") {
    ++this->counts->served;
    this->counts->admitted.push_back(common::SteadyNow());
    this->context->statistics->reads.Record(common::SteadyNow() -
                                            this->request_start);
    this->CheckRead(aged, body);
  } else {
    this->CountOutcome(body);
  }
  this->ScheduleNext();
}

void SessionWorker::CheckRead(bool aged, const json& body) {
  Statistics* statistics = this->context->statistics;
  if (body.value("served_by", std::string()) == "replica") {
    ++statistics->replica_reads;
  } else {
    ++statistics->primary_reads;
  }
  const json& results = body.at("results");
  const bool whole = results.is_array() && results.size() == 2;
  const bool own =
      whole && (results[1].is_null() || results[1] == json(this->account));
  const bool same_request =
      body.value("request_id", std::string()) == this->request_id;
  if (!own || !same_request) {
    ++statistics->crossed_answers;
    return;
  }
  const std::int64_t balance =
      results[0].is_number_integer() ? results[0].get<std::int64_t>() : 0;
  if (balance > this->context->ledger->Possible(this->account)) {
    ++statistics->crossed_answers;
  }
  if (aged) {
    const std::chrono::milliseconds age(body.value("age_ms", std::int64_t{0}));
    if (age > this->context->plan->max_age) ++statistics->over_age_reads;
    return;
  }
  if (balance < this->context->ledger->Acknowledged(this->account)) {
    ++statistics->stale_own_reads;
  }
}

void SessionWorker::CountOutcome(const json& body) {
  if (body.value("outcome", std::string()) == "not_run") {
    ++this->counts->refused[body.value("reason", std::string("none"))];
    return;
  }
  ++this->counts->unknown;
  if (body.empty()) ++this->context->statistics->cut_requests;
}

void SessionWorker::Verify(LedgerFindings* findings,
                           std::function<void()> done) {
  this->findings = findings;
  this->verified = std::move(done);
  this->SendVerify();
}

void SessionWorker::SendVerify() {
  json operations = BalanceRead(this->account);
  operations.push_back({{"op", "scan"},
                        {"table", "contribution"},
                        {"prefix", this->account + "/"},
                        {"limit", kScanLimit}});
  this->Send(this->NewRequest(operations, true),
             [this](const connection::HttpResult& result) {
               this->OnVerifyAnswer(result);
             });
}

void SessionWorker::OnVerifyAnswer(const connection::HttpResult& result) {
  const json body = this->TakeBody(result);
  if (body.value("outcome", std::string()) != "done") {
    if (++this->verify_attempts < kMaxVerifyAttempts) {
      this->context->loop->RunLater(2 * kRetryPause,
                                    [this] { this->SendVerify(); });
      return;
    }
    ++this->findings->unreadable_accounts;
    this->verified();
    return;
  }
  const json& results = body.at("results");
  const std::int64_t balance =
      results[0].is_number_integer() ? results[0].get<std::int64_t>() : 0;
  std::set<std::uint64_t> contributions;
  for (const json& record : results[2]) {
    contributions.insert(record.at("value").get<std::uint64_t>());
  }
  this->context->ledger->Check(this->account, balance, contributions,
                               this->findings);
  this->verified();
}

connection::HttpRequest SessionWorker::NewRequest(const json& operations,
                                                  bool repeatable) {
  this->request_id = this->account + "-" + std::to_string(this->next_request++);
  connection::HttpRequest request;
  request.method = "POST";
  request.path = "/v1/statement";
  request.headers["Content-Type"] = "application/json";
  request.headers["Authorization"] = "Bearer " + this->workspace->key;
  request.headers["Request-Id"] = this->request_id;
  if (!this->session.empty()) {
    request.headers["Camphorferry-Session"] = this->session;
  }
  json body = {{"route", this->route}, {"operations", operations}};
  if (repeatable) body["repeatable"] = true;
  request.body = body.dump();
  return request;
}

void SessionWorker::Send(const connection::HttpRequest& request,
                         connection::HttpClientConnection::Callback callback) {
  const bool usable = this->link != nullptr && this->link->Usable();
  if (!usable || this->Chance(kMoveShare)) this->OpenLink();
  this->SendOnLink(request, std::move(callback), kMaxConnectAttempts);
}

void SessionWorker::OpenLink() {
  const auto& clients = this->context->plan->clients;
  const std::size_t choice = this->random() % clients.size();
  this->link = std::make_unique<connection::HttpClientConnection>(
      this->context->loop, clients[choice]);
}

void SessionWorker::SendOnLink(
    const connection::HttpRequest& request,
    connection::HttpClientConnection::Callback callback, int attempts_left) {
  this->link->Send(
      request, kAnswerTimeout,
      [this, request, callback = std::move(callback),
       attempts_left](connection::HttpResult result) mutable {
        const auto* failure = std::get_if<connection::HttpFailure>(&result);
        const bool refused =
            failure != nullptr && *failure == connection::HttpFailure::kNotSent;
        if (!refused || attempts_left == 0) {
          callback(std::move(result));
          return;
        }
        // A load balancer would have chosen another daemon.
        this->OpenLink();
        this->SendOnLink(request, std::move(callback), attempts_left - 1);
      });
}

json SessionWorker::TakeBody(const connection::HttpResult& result) {
  const auto* response = std::get_if<connection::HttpResponse>(&result);
  if (response == nullptr) return json::object();
  const auto token = response->headers.find("camphorferry-session");
  if (token != response->headers.end()) this->session = token->second;
  json body = json::parse(response->body, nullptr, false);
  return body.is_object() ? body : json::object();
}

bool SessionWorker::Chance(double share) {
  return std::uniform_real_distribution<>(0, 1)(this->random) < share;
}

}  // namespace camphorferry::load
