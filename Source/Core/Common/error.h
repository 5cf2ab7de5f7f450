#ifndef CAMPHORFERRY_COMMON_ERROR_H_
#define CAMPHORFERRY_COMMON_ERROR_H_

#include <stdexcept>
#include <string>

namespace camphorferry::common {

/// Base class of all exceptions of this project. Each kind of failure has its
/// own class with typed fields. The message is for display only and is not
/// parsed.
class Error : public std::runtime_error {
 protected:
  explicit Error(const std::string& message) : std::runtime_error(message) {}
};

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_ERROR_H_
