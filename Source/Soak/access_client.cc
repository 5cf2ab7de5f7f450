#include "access_client.h"

#include <utility>

namespace camphorferry::soak {

using std::chrono::milliseconds;

AccessClient::AccessClient(connection::EventLoop* loop, AccessChecker* checker,
                           Settings settings)
    : loop(loop),
      checker(checker),
      settings(std::move(settings)),
      random(this->settings.seed) {}

AccessClient::~AccessClient() { this->Close(); }

milliseconds AccessClient::Pause() {
  const auto between = [this](int least, int most) {
    return milliseconds(least +
                        static_cast<int>(this->random() % (most - least)));
  };
  switch (this->settings.pace) {
    case AccessPace::kIdle:
      return between(1500, 6500);
    case AccessPace::kBusy:
      return between(10, 80);
    case AccessPace::kTransactions:
      return between(50, 1500);
  }
  return milliseconds(0);
}

void AccessClient::Step(common::SteadyTime now) {
  if (now < this->next_step) return;
  if (this->stream == nullptr) {
    this->Open(now);
    return;
  }
  if (!this->ready) return;
  this->Ask(this->NextStatement());
}

void AccessClient::Open(common::SteadyTime now) {
  // Set again once the session is ready.
  constexpr milliseconds kReopenDelay(300);
  this->next_step = now + kReopenDelay;
  this->stream = std::make_shared<session::MessageStream>(
      this->loop, this->settings.address);
  session::StreamEvents events;
  events.message = [this](std::string_view line) { this->OnLine(line); };
  events.closed = [this] { this->Close(); };
  this->stream->Start(std::move(events));
  this->failed = this->prepared = this->in_transaction = false;
  this->Ask("STARTUP " + this->settings.database + " " + this->settings.key);
}

void AccessClient::Close() {
  this->ready = false;
  this->pending.reset();
  if (this->stream == nullptr) return;
  this->stream->Close();
  // Deferred, because the stream may be executing one of its own callbacks.
  this->loop->Post([deferred = std::move(this->stream)] {});
  this->stream.reset();
}

std::string AccessClient::NextStatement() {
  const std::string item = "i" + std::to_string(this->random() % 4);
  const bool writes = this->random() % 3 == 0;
  std::string access = writes ? "WRITE " + item + " x" : "READ " + item;
  if (this->in_transaction) {
    if (std::exchange(this->failed, false)) {
      this->in_transaction = false;
      return "ROLLBACK";
    }
    if (this->left_in_transaction-- > 0) return access;
    this->in_transaction = false;
    return "COMMIT";
  }
  this->failed = false;
  if (this->settings.pace == AccessPace::kTransactions) {
    constexpr int kMaxStatements = 10;
    this->left_in_transaction =
        1 + static_cast<int>(this->random() % kMaxStatements);
    this->in_transaction = true;
    return "BEGIN";
  }
  constexpr int kKinds = 5;
  switch (this->random() % kKinds) {
    case 0:
      return "SET mode m" + std::to_string(this->random() % 2);
    case 1:
      if (!std::exchange(this->prepared, true)) return "PREPARE mine READ q1";
      return "EXECUTE mine " + item;
    default:
      return access;
  }
}

void AccessClient::Ask(const std::string& line) {
  std::string id = "c";
  id += std::to_string(this->settings.number);
  id += "x" + std::to_string(this->next_id++);
  this->ready = false;
  this->pending = id;
  this->checker->OnSent(id, {this->settings.key, this->settings.open,
                             this->settings.proxy, common::SteadyNow()});
  const bool starts = line.starts_with("STARTUP");
  this->stream->Send((starts ? line : "QUERY " + id + " " + line) + "\r\n");
}

void AccessClient::OnLine(std::string_view line) {
  if (line.starts_with("ERROR")) {
    this->failed = true;
    if (line.starts_with("ERROR NOAUTH") && this->pending.has_value()) {
      this->checker->OnKeyRefused(*this->pending, common::SteadyNow());
    }
    return;
  }
  if (!line.starts_with("READY")) return;
  // The proxy has ended a transaction that failed at its begin.
  if (line.starts_with("READY I")) this->in_transaction = false;
  this->pending.reset();
  this->ready = true;
  this->next_step = common::SteadyNow() + this->Pause();
}

}  // namespace camphorferry::soak
