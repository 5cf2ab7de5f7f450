#include "Session/statement.h"

namespace camphorferry::session {

const char* ToString(StatementError error) {
  switch (error) {
    case StatementError::kBusy:
      return "busy";
    case StatementError::kAborted:
      return "aborted";
    case StatementError::kLagging:
      return "lagging";
    case StatementError::kReadOnly:
      return "read_only";
    case StatementError::kWrongEndpoint:
      return "wrong_endpoint";
    case StatementError::kTooManyConnections:
      return "too_many_connections";
    case StatementError::kFailed:
      return "failed";
    case StatementError::kTimeout:
      return "timeout";
    case StatementError::kUnknownOutcome:
      return "unknown_outcome";
    case StatementError::kNoSuchStatement:
      return "no_such_statement";
    case StatementError::kUnauthorized:
      return "unauthorized";
    case StatementError::kNoSuchDatabase:
      return "no_such_database";
    case StatementError::kTooLarge:
      return "too_large";
    case StatementError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

bool HasNotRun(StatementError error) {
  return error == StatementError::kBusy || error == StatementError::kLagging ||
         error == StatementError::kReadOnly ||
         error == StatementError::kNoSuchStatement ||
         error == StatementError::kTooManyConnections ||
         error == StatementError::kWrongEndpoint;
}

}  // namespace camphorferry::session
