#ifndef CAMPHORFERRY_VERSION_CONFIGURATION_JSON_H_
#define CAMPHORFERRY_VERSION_CONFIGURATION_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "Version/configuration.h"

namespace camphorferry::version {

/// What is wrong with a configuration document.
enum class DocumentFault {
  kNotJson,
  kMissingField,
  kUnknownField,
  kWrongType,
  kOutOfRange,
  kBadName,
  kBadAddress,
  kBadDigest,
  kDuplicate,
};

/// Name of a fault, as in messages and counters.
std::string_view ToString(DocumentFault fault);

/// A document is not a configuration.
class BadConfigurationError : public common::Error {
 public:
  BadConfigurationError(DocumentFault fault, const std::string& path);

  DocumentFault Fault() const { return this->fault; }
  /// Place in the document, such as "services/ledger-1/slots".
  const std::string& Path() const { return this->path; }

 private:
  DocumentFault fault;
  std::string path;
};

/// The document that is kept in the store and passed between daemons.
nlohmann::json ConfigurationToJson(const Configuration& configuration);

/// Reads the document; throws BadConfigurationError. Unknown fields are faults,
/// since a daemon that ignored one would enforce something else than declared.
Configuration ConfigurationFromJson(const nlohmann::json& document);

/// Reads the document's text; throws BadConfigurationError.
Configuration ParseConfiguration(std::string_view text);

/// The document without version and applied plans: what operators declare.
nlohmann::json DeclarationsToJson(const Configuration& configuration);

/// Reads declarations; version and applied plans of the result are empty.
/// Throws BadConfigurationError.
Configuration DeclarationsFromJson(const nlohmann::json& document);

/// The objects as they stand in the document.
nlohmann::json ToJson(const Workspace& workspace);
nlohmann::json ToJson(const Service& service);
nlohmann::json ToJson(const Route& route);
nlohmann::json ToJson(const Key& key);
nlohmann::json ToJson(const FailureDomain& domain);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_JSON_H_
