#ifndef CAMPHORFERRY_PROCESS_REQUEST_CONTEXT_H_
#define CAMPHORFERRY_PROCESS_REQUEST_CONTEXT_H_

#include <functional>
#include <map>
#include <memory>
#include <random>

#include "Process/counters.h"
#include "Process/endpoint_directory.h"
#include "Process/primary_directory.h"
#include "Process/rate_limit_task.h"
#include "Process/statement_router.h"
#include "Request/request.h"
#include "Version/version.h"

namespace camphorferry::process {

/// Shared state of all requests of this daemon. It lives as long as the
/// process; configuration and keys are replaced with each configuration
/// version.
struct RequestContext {
  connection::EventLoop* loop = nullptr;
  RateLimitTask* rates = nullptr;
  PrimaryDirectory* primaries = nullptr;
  EndpointDirectory endpoints;
  StatementRouter* router = nullptr;
  Counters* counters = nullptr;
  request::SessionSecrets session_secrets;
  common::FailureDomainId own_domain;
  version::ConfigurationPointer configuration;
  std::shared_ptr<const version::KeyRing> keys;
  std::map<common::RouteId, request::RetryBudget> retry_budgets;
  std::mt19937_64 random{std::random_device{}()};
  bool draining = false;
};

}  // namespace camphorferry::process

#endif  // CAMPHORFERRY_PROCESS_REQUEST_CONTEXT_H_
