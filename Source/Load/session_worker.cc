#include "Load/session_worker.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorferry::load {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kAnswerTimeout(6);
constexpr std::chrono::seconds kWriteRetryTimeout(20);
constexpr std::chrono::milliseconds kRetryDelay(50);
/// Probability that a session connects to another daemon before a request.
constexpr double kReconnectProbability = 0.2;
constexpr int kMaxVerifyAttempts = 100;
/// Maximum number of further daemons that are tried for a request if no
/// connection can be established.
constexpr int kMaxReconnects = 16;
constexpr std::uint32_t kScanLimit = 1000;

json BalanceOperations(const std::string& account) {
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
  const double start_fraction =
      std::uniform_real_distribution<>(0, 1)(this->random);
  this->next_request_time = this->context->start +
                            std::chrono::duration_cast<common::Duration>(
                                std::chrono::duration<double>(
                                    start_fraction * this->workspace->sessions /
                                    this->workspace->rate));
  this->ScheduleNext();
}

void SessionWorker::ScheduleNext() {
  const common::SteadyTime now = common::SteadyNow();
  if (std::max(now, this->next_request_time) >= this->context->end) {
    this->finished = true;
    return;
  }
  const common::Duration delay = std::max<common::Duration>(
      this->next_request_time - now, common::Duration::zero());
  this->context->loop->RunLater(delay, [this] { this->StartRequest(); });
}

void SessionWorker::StartRequest() {
  const std::chrono::duration<double> interval(this->workspace->sessions /
                                               this->workspace->rate);
  // A session that is late does not catch up with a burst of requests.
  this->next_request_time =
      std::max(this->next_request_time +
                   std::chrono::duration_cast<common::Duration>(interval),
               common::SteadyNow());
  this->request_start = common::SteadyNow();
  ++this->counts->requested;
  if (this->next_write == 1 || this->Chance(this->context->plan->write_share)) {
    this->StartWrite();
  } else {
    this->StartRead();
  }
}

void SessionWorker::StartRead() {
  const bool has_max_age = this->Chance(this->context->plan->aged_share);
  connection::HttpRequest request =
      this->NewRequest(BalanceOperations(this->account), true);
  if (has_max_age) {
    request.headers.erase("Camphorferry-Session");
    request.headers["Camphorferry-Max-Age-Ms"] = std::to_string(
        common::ToMilliseconds(this->context->plan->max_age).count());
  }
  this->Send(request,
             [this, has_max_age](const connection::HttpResult& result) {
               this->OnReadAnswer(has_max_age, result);
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
  this->write_may_have_run = false;
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
  const json body = this->ReadAnswer(result);
  const std::string outcome = body.value("outcome", std::string());
  const auto* failure = std::get_if<connection::HttpFailure>(&result);
  const bool not_sent =
      failure != nullptr && *failure == connection::HttpFailure::kNotSent;
  if (outcome == "done") {
    this->EndWrite(WriteOutcome::kAcknowledged);
    return;
  }
  // After an attempt with an unknown outcome, "not run" only refers to a later
  // attempt.
  const bool certainly_not_run =
      outcome == "not_run" && !this->write_may_have_run;
  if (certainly_not_run) {
    this->CountOutcome(body);
    this->EndWrite(WriteOutcome::kNotRun);
    return;
  }
  if (!not_sent && outcome != "not_run") this->write_may_have_run = true;
  const bool in_time =
      common::SteadyNow() < this->request_start + kWriteRetryTimeout;
  const bool may_repeat = this->write_keyed || not_sent;
  if (may_repeat && in_time) {
    this->context->loop->RunLater(kRetryDelay, [this] { this->SendWrite(); });
    return;
  }
  this->CountOutcome(body);
  this->EndWrite(this->write_may_have_run ? WriteOutcome::kUnknown
                                          : WriteOutcome::kNotRun);
}

void SessionWorker::EndWrite(WriteOutcome outcome) {
  this->context->write_history->Record(this->account, this->next_write++,
                                       outcome);
  const common::SteadyTime now = common::SteadyNow();
  if (outcome == WriteOutcome::kAcknowledged) {
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

void SessionWorker::OnReadAnswer(bool has_max_age,
                                 const connection::HttpResult& result) {
  // A read with a maximum age is sent without the session token, so the token
  // in its answer may have earlier positions than the session.
  const std::string session_before = this->session;
  const json body = this->ReadAnswer(result);
  if (has_max_age) this->session = session_before;
  if (body.value("outcome", std::string()) == "done") {
    ++this->counts->served;
    this->counts->admitted.push_back(common::SteadyNow());
    this->context->statistics->reads.Record(common::SteadyNow() -
                                            this->request_start);
    this->CheckRead(has_max_age, body);
  } else {
    this->CountOutcome(body);
  }
  this->ScheduleNext();
}

void SessionWorker::CheckRead(bool has_max_age, const json& body) {
  Statistics* statistics = this->context->statistics;
  if (body.value("served_by", std::string()) == "replica") {
    ++statistics->replica_reads;
  } else {
    ++statistics->primary_reads;
  }
  const json& results = body.at("results");
  const bool complete = results.is_array() && results.size() == 2;
  const bool own =
      complete && (results[1].is_null() || results[1] == json(this->account));
  const bool same_request =
      body.value("request_id", std::string()) == this->request_id;
  if (!own || !same_request) {
    ++statistics->crossed_answers;
    return;
  }
  const std::int64_t balance =
      results[0].is_number_integer() ? results[0].get<std::int64_t>() : 0;
  if (balance > this->context->write_history->MaxBalance(this->account)) {
    ++statistics->crossed_answers;
  }
  if (has_max_age) {
    const std::chrono::milliseconds age(body.value("age_ms", std::int64_t{0}));
    if (age > this->context->plan->max_age) ++statistics->over_age_reads;
    return;
  }
  if (balance < this->context->write_history->MinBalance(this->account)) {
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

void SessionWorker::Verify(ConsistencyFindings* findings,
                           std::function<void()> done) {
  this->findings = findings;
  this->on_verified = std::move(done);
  this->SendVerify();
}

void SessionWorker::SendVerify() {
  json operations = BalanceOperations(this->account);
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
  const json body = this->ReadAnswer(result);
  if (body.value("outcome", std::string()) != "done") {
    if (++this->verify_attempts < kMaxVerifyAttempts) {
      this->context->loop->RunLater(2 * kRetryDelay,
                                    [this] { this->SendVerify(); });
      return;
    }
    ++this->findings->unreadable_accounts;
    this->on_verified();
    return;
  }
  const json& results = body.at("results");
  const std::int64_t balance =
      results[0].is_number_integer() ? results[0].get<std::int64_t>() : 0;
  std::set<std::uint64_t> contributions;
  for (const json& record : results[2]) {
    contributions.insert(record.at("value").get<std::uint64_t>());
  }
  this->context->write_history->Check(this->account, balance, contributions,
                                      this->findings);
  this->on_verified();
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
  const bool usable =
      this->http_connection != nullptr && this->http_connection->Usable();
  if (!usable || this->Chance(kReconnectProbability)) this->Reconnect();
  this->SendOrReconnect(request, std::move(callback), kMaxReconnects);
}

void SessionWorker::Reconnect() {
  const auto& clients = this->context->plan->clients;
  const std::size_t choice = this->random() % clients.size();
  this->http_connection = std::make_unique<connection::HttpClientConnection>(
      this->context->loop, clients[choice]);
}

void SessionWorker::SendOrReconnect(
    const connection::HttpRequest& request,
    connection::HttpClientConnection::Callback callback, int reconnects_left) {
  this->http_connection->Send(
      request, kAnswerTimeout,
      [this, request, callback = std::move(callback),
       reconnects_left](connection::HttpResult result) mutable {
        const auto* failure = std::get_if<connection::HttpFailure>(&result);
        const bool refused =
            failure != nullptr && *failure == connection::HttpFailure::kNotSent;
        if (!refused || reconnects_left == 0) {
          callback(std::move(result));
          return;
        }
        // Clients connect through a load balancer, which would choose another
        // daemon.
        this->Reconnect();
        this->SendOrReconnect(request, std::move(callback),
                              reconnects_left - 1);
      });
}

json SessionWorker::ReadAnswer(const connection::HttpResult& result) {
  const auto* response = std::get_if<connection::HttpResponse>(&result);
  if (response == nullptr) return json::object();
  const auto token = response->headers.find("camphorferry-session");
  if (token != response->headers.end()) this->session = token->second;
  json body = json::parse(response->body, nullptr, false);
  return body.is_object() ? body : json::object();
}

bool SessionWorker::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(this->random) < probability;
}

}  // namespace camphorferry::load
