#ifndef CAMPHORFERRY_VERSION_DECLARATIONS_H_
#define CAMPHORFERRY_VERSION_DECLARATIONS_H_

#include <filesystem>
#include <string>
#include <vector>

#include "Version/configuration.h"

namespace camphorferry::version {

/// Declaration files have faults.
class DeclarationsError : public common::FaultListError {
 public:
  using FaultListError::FaultListError;
};

/// The text of one declaration file.
struct DeclarationText {
  std::string file;
  std::string text;
};

/// Reads declarations from files and from the *.toml files of directories, and
/// checks them as a whole; throws DeclarationsError with every fault of every
/// file. Version and applied plans of the result are empty.
Configuration ReadDeclarations(
    const std::vector<std::filesystem::path>& sources);

/// As ReadDeclarations, for texts that were read already.
Configuration ParseDeclarations(const std::vector<DeclarationText>& texts);

}  // namespace camphorferry::version

#endif  // CAMPHORFERRY_VERSION_DECLARATIONS_H_
