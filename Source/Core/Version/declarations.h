#ifndef CAMPHORFERRY_VERSION_DECLARATIONS_H_
#define CAMPHORFERRY_VERSION_DECLARATIONS_H_

#include <filesystem>
#include <string>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// Declaration files are invalid.
class DeclarationsError : public common::FaultListError {
 public:
  using FaultListError::FaultListError;
};

/// Name and content of one declaration file.
struct DeclarationText {
  std::string file;
  std::string text;
};

/// Reads declarations from files and from the *.toml files of directories,
/// merges them and checks the result. Throws DeclarationsError with all faults
/// of all files. The result has version 0 and no applied plans.
Configuration ReadDeclarations(
    const std::vector<std::filesystem::path>& sources);

/// Does the same for files that were already read.
Configuration ParseDeclarations(const std::vector<DeclarationText>& texts);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_DECLARATIONS_H_
