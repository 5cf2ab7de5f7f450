#ifndef CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_TASK_H_
#define CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_TASK_H_

#include <memory>
#include <optional>

#include "Session/acknowledgement_gate.h"
#include "Session/closing_messages.h"
#include "Session/directory.h"
#include "Session/fleet_transport.h"
#include "Session/proxy_metrics.h"

namespace camphorferry::session {

/// Keeps this daemon's knowledge of the lease record young enough to tell
/// clients of commits: reads the record, and takes over what peers have read.
class AcknowledgementTask {
 public:
  AcknowledgementTask(Platform* platform, ProxyMetrics* metrics);
  ~AcknowledgementTask();
  AcknowledgementTask(const AcknowledgementTask&) = delete;
  AcknowledgementTask& operator=(const AcknowledgementTask&) = delete;

  /// Whether this daemon reads the record itself before its peers would have
  /// told it.
  void SetReadsEarly(bool early) { this->reads_early = early; }

  /// This daemon's registration has been acknowledged.
  void OnRegistered(HostRegistration result);

  /// Must be called every kGroupTickInterval.
  void Tick(common::SteadyTime now);

  /// Whether this process has known the record since its registration. Before,
  /// it can't know which terms were closed before its start.
  bool HasKnownRecord() const { return this->has_known_record; }

  /// Whether a client may be told of a commit of the given term.
  AcknowledgementVerdict Check(const common::ServiceId& service,
                               common::Term term) const;

  /// A client is told of a commit that lies behind the first position and not
  /// behind the second one.
  void OnTold(const common::ServiceId& service, common::LogPosition after,
              common::LogPosition end);

  /// Keeps to an entry and fills in what this daemon has told clients.
  CloseTermReply Close(const CloseTermRequest& request);

  /// What this daemon knows of the record, for a peer; none if that is too old.
  std::optional<RecordKnowledge> Knowledge(common::SteadyTime now) const;

  /// Takes over what a peer knew when it was asked, at the given time.
  void OnPeerKnowledge(const RecordKnowledge& known,
                       common::SteadyTime requested);

 private:
  void ReadRecord(common::SteadyTime now);
  /// The gate has got a state of the record.
  void OnRecord();

  Platform* platform;
  ProxyMetrics* metrics;
  AcknowledgementGate gate;
  common::SteadyTime started;
  bool has_known_record = false;
  /// No earlier process has told clients of commits at this host; none before
  /// the first registration.
  std::optional<bool> is_first_process;
  bool reads_early = true;
  bool reading = false;
  common::SteadyTime next_read;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_TASK_H_
