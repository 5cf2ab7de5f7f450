#ifndef CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_GATE_H_
#define CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_GATE_H_

#include <chrono>
#include <map>
#include <optional>

#include "Session/closed_term.h"

namespace camphorferry::session {

/// How long a daemon acts on a state of the lease record. A promotion that
/// can't ask a daemon waits for as long.
inline constexpr std::chrono::milliseconds kRecordValidity(3000);

/// Whether a client may be told of a commit.
enum class AcknowledgementVerdict {
  kPass,
  /// Only once a listed replica has the commit: a promotion may be in progress
  /// without this daemon's knowledge.
  kConfirm,
  /// The commit's term is closed.
  kWithhold
};

/// Decides for one daemon whether clients are told of commits, so that a
/// promotion can rely on all that were told. Times are those of
/// common::SteadyNow, whose clock goes on while the host is suspended.
class AcknowledgementGate {
 public:
  /// This daemon has registered. Only states of the record that are requested
  /// later tell that a term is open, because a promotion may have listed the
  /// daemons before. The entries that are known stay.
  void OnRegistered(common::SteadyTime now);

  /// Takes a state of the lease record, read without lag by this daemon or by a
  /// peer, and a time at or before which the read was sent. States may come in
  /// any order: an older one adds its entries only.
  void OnRecord(const ClosedTerms& closed, common::SteadyTime requested);

  /// Takes an entry that a promoter has sent.
  void OnClosed(const common::ServiceId& service, const ClosedTerm& closed);

  /// Whether a client may be told of a commit of the given term. To be asked
  /// right before the client is told.
  AcknowledgementVerdict Check(const common::ServiceId& service,
                               common::Term term, common::SteadyTime now) const;

  /// A client is told of a commit that lies behind the first position,
  /// exclusively, and up to the second one.
  void OnTold(const common::ServiceId& service, common::LogPosition after,
              common::LogPosition end);

  /// A member that is behind this position lacks a commit of which a client of
  /// this daemon has been told, or of which the fleet is known to have told.
  common::LogPosition Acknowledged(const common::ServiceId& service) const;

  /// A member that has reached this position has all commits of which clients
  /// of this daemon have been told.
  common::LogPosition AcknowledgedEnd(const common::ServiceId& service) const;

  /// The known entries, with what clients of this daemon have been told of.
  ClosedTerms Closed() const;

  /// When the latest known state of the record was requested; none if that was
  /// not after the registration or is as long ago as the validity.
  std::optional<common::SteadyTime> KnownSince(common::SteadyTime now) const;

 private:
  /// What clients of this daemon have been told of.
  struct Told {
    /// A member that is behind this position lacks one of the commits.
    common::LogPosition acknowledged;
    /// A member that has reached this position has all of them.
    common::LogPosition end;
  };

  ClosedTerms closed;
  std::map<common::ServiceId, Told> told;
  /// When this daemon last registered.
  std::optional<common::SteadyTime> registered;
  /// When the latest known state of the record was requested.
  std::optional<common::SteadyTime> requested;
};

}  // namespace camphorferry::session

#endif  // CAMPHORFERRY_SESSION_ACKNOWLEDGEMENT_GATE_H_
