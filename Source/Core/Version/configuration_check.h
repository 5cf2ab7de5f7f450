#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// Maximum rate and burst: twice the statements per second of the whole fleet.
inline constexpr std::uint32_t kMaxRate = 10'000'000;
inline constexpr std::uint32_t kMaxWeight = 1000;
inline constexpr std::uint32_t kMaxRateSlots = 10'000;
inline constexpr std::uint32_t kMaxSlots = 10'000;
/// Two daemons may both act as the owner of an endpoint. Each then opens
/// connections / 4 + 1 connections and replication opens 2, so that all are
/// accepted if `connections` is at least 8.
inline constexpr std::uint32_t kMinConnections = 8;
inline constexpr std::uint32_t kMaxConnections = 100'000;
/// Fencing and acknowledgement require a majority of exactly three endpoints.
inline constexpr std::size_t kEndpointsPerService = 3;
/// Maximum size of a document in the store.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/// A declared value that is out of range or inconsistent with other values.
struct ConfigurationIssue {
  common::FaultKind kind = common::FaultKind::kNotAllowed;
  /// Dotted path of the object, such as "service.ledger-1.endpoint[0]".
  std::string object;
  /// Field of the object; empty if the issue concerns the whole object.
  std::string field;
  std::string found;
  std::string allowed;

  bool operator==(const ConfigurationIssue&) const = default;
};

/// Checks ranges, references and the size of the document. The configuration is
/// valid if the result is empty.
std::vector<ConfigurationIssue> CheckConfiguration(
    const Configuration& configuration);

/// Converts the issue to a fault without file and line.
common::Fault ToFault(const ConfigurationIssue& issue);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_
