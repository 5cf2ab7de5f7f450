#include "Session/acknowledgement_task.h"

namespace camphorferry::session {

namespace {

/// Age of the knowledge at which the record is read: by daemons that read
/// early, and by the others, which usually hear of it from those. Leaves time
/// for a second read before the knowledge counts no longer.
constexpr std::chrono::milliseconds kEarlyReadAge(1000);
constexpr std::chrono::milliseconds kLateReadAge(1700);
/// Minimum interval between two reads.
constexpr std::chrono::milliseconds kReadInterval(500);

}  // namespace

AcknowledgementTask::AcknowledgementTask(Platform* platform,
                                         ProxyMetrics* metrics)
    : platform(platform), metrics(metrics), started(common::SteadyNow()) {}

AcknowledgementTask::~AcknowledgementTask() { *this->alive = false; }

void AcknowledgementTask::OnRegistered(HostRegistration result) {
  if (!this->is_first_process.has_value()) {
    this->is_first_process = result == HostRegistration::kFirst;
  }
  this->gate.OnRegistered(common::SteadyNow());
  this->next_read = common::SteadyTime();
  this->Tick(common::SteadyNow());
}

void AcknowledgementTask::Tick(common::SteadyTime now) {
  if (this->reading || now < this->next_read) return;
  const common::Duration wanted_at =
      this->reads_early ? kEarlyReadAge : kLateReadAge;
  const auto known_since = this->gate.KnownSince(now);
  if (known_since.has_value() && now - *known_since < wanted_at) {
    return;
  }
  this->ReadRecord(now);
}

void AcknowledgementTask::ReadRecord(common::SteadyTime now) {
  this->reading = true;
  this->next_read = now + kReadInterval;
  this->platform->ReadPromotionLease(
      [this, still_alive = this->alive,
       requested = now](const PromotionLeaseResult& result) {
        if (!*still_alive) return;
        this->reading = false;
        const auto* record = std::get_if<PromotionLeaseRecord>(&result);
        this->metrics->Count("lease_record_reads",
                             "Reads of the lease record, which says of which "
                             "terms commits are not acknowledged any more.",
                             "result",
                             record != nullptr ? "answered" : "unavailable");
        if (record == nullptr) return;
        this->gate.OnRecord(record->closed_terms, requested);
        this->OnRecord();
      });
}

AcknowledgementVerdict AcknowledgementTask::Check(
    const common::ServiceId& service, common::Term term) const {
  return this->gate.Check(service, term, common::SteadyNow());
}

void AcknowledgementTask::OnTold(const common::ServiceId& service,
                                 common::LogPosition after,
                                 common::LogPosition end) {
  this->gate.OnTold(service, after, end);
}

CloseTermReply AcknowledgementTask::Close(const CloseTermRequest& request) {
  this->gate.OnClosed(request.service, request.closed);
  CloseTermReply reply;
  reply.acknowledged = this->gate.Acknowledged(request.service);
  reply.acknowledged_end = this->gate.AcknowledgedEnd(request.service);
  reply.running = common::SteadyNow() - this->started;
  reply.is_first_process = this->is_first_process.value_or(false);
  return reply;
}

std::optional<RecordKnowledge> AcknowledgementTask::Knowledge(
    common::SteadyTime now) const {
  const auto known_since = this->gate.KnownSince(now);
  if (!known_since.has_value()) return std::nullopt;
  return RecordKnowledge{now - *known_since, this->gate.Closed()};
}

void AcknowledgementTask::OnPeerKnowledge(const RecordKnowledge& known,
                                          common::SteadyTime requested) {
  this->gate.OnRecord(known.closed, requested - known.age);
  this->OnRecord();
}

void AcknowledgementTask::OnRecord() {
  this->has_known_record |=
      this->gate.KnownSince(common::SteadyNow()).has_value();
}

}  // namespace camphorferry::session
