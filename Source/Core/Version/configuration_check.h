#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// Largest rate and burst: twice the statements per second of the whole fleet.
inline constexpr std::uint32_t kMaxRate = 10'000'000;
inline constexpr std::uint32_t kMaxWeight = 1000;
inline constexpr std::uint32_t kMaxRateSlots = 10'000;
inline constexpr std::uint32_t kMaxSlots = 10'000;
/// Two daemons that both believe they own an endpoint open connections / 4 + 1
/// each and replication opens 2, which fits from 8 on.
inline constexpr std::uint32_t kMinConnections = 8;
inline constexpr std::uint32_t kMaxConnections = 100'000;
/// Fences and acknowledgements rely on majorities of exactly three.
inline constexpr std::size_t kEndpointsPerService = 3;
/// Largest value that the store holds.
inline constexpr std::size_t kMaxDocumentBytes = 1'000'000;

/// A declared value that makes no sense by itself or together with others.
struct ConfigurationIssue {
  common::FaultKind kind = common::FaultKind::kNotAllowed;
  /// Dotted name of the object, such as "service.ledger-1.endpoint[0]".
  std::string object;
  /// Field of the object; empty if the object as a whole is meant.
  std::string field;
  std::string found;
  std::string allowed;

  bool operator==(const ConfigurationIssue&) const = default;
};

/// Checks ranges and references; an empty list means that the configuration may
/// be put in force.
std::vector<ConfigurationIssue> CheckConfiguration(
    const Configuration& configuration);

/// The issue as a fault without a place in a file.
common::Fault ToFault(const ConfigurationIssue& issue);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_CHECK_H_
