#ifndef CAMPHORFERRY_COMMON_ERROR_H_
#define CAMPHORFERRY_COMMON_ERROR_H_

#include <stdexcept>
#include <string>

namespace camphorferry::common {

/// Base of all exceptions of this project. Each failure has a class of its own
/// with typed fields; the message is for people only.
class Error : public std::runtime_error {
 protected:
  explicit Error(const std::string& message) : std::runtime_error(message) {}
};

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_ERROR_H_
