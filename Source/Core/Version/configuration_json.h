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

/// Name of a fault in error messages and counters.
std::string_view ToString(DocumentFault fault);

/// A document is not a valid configuration.
class BadConfigurationError : public common::Error {
 public:
  BadConfigurationError(DocumentFault fault, const std::string& path);

  DocumentFault Fault() const { return this->fault; }
  /// Path of the faulty field, such as "services/ledger-1/slots".
  const std::string& Path() const { return this->path; }

 private:
  DocumentFault fault;
  std::string path;
};

/// Converts a configuration to the document that is kept in the store and sent
/// between daemons.
nlohmann::json ConfigurationToJson(const Configuration& configuration);

/// Converts a document to a configuration; throws BadConfigurationError.
/// Unknown fields are refused, because a daemon that ignored one would not
/// enforce what was declared.
Configuration ConfigurationFromJson(const nlohmann::json& document);

/// Parses the text of a document; throws BadConfigurationError.
Configuration ParseConfiguration(std::string_view text);

/// Converts only what operators declare: the document without version and
/// applied plans.
nlohmann::json DeclarationsToJson(const Configuration& configuration);

/// Converts declarations to a configuration with version 0 and no applied
/// plans. Throws BadConfigurationError.
Configuration DeclarationsFromJson(const nlohmann::json& document);

/// Convert single objects to their form in the document.
nlohmann::json ToJson(const Workspace& workspace);
nlohmann::json ToJson(const Service& service);
nlohmann::json ToJson(const Route& route);
nlohmann::json ToJson(const Key& key);
nlohmann::json ToJson(const FailureDomain& domain);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_CONFIGURATION_JSON_H_
