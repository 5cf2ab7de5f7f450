#ifndef CAMPHORFERRY_REQUEST_REQUEST_H_
#define CAMPHORFERRY_REQUEST_REQUEST_H_

/// Public header of the Request library: types whose objects live as long as
/// one request.

#include "Request/endpoint_role.h"
#include "Request/fair_queue.h"
#include "Request/idempotency_key.h"
#include "Request/operation.h"
#include "Request/outcome.h"
#include "Request/read_router.h"
#include "Request/request_record.h"
#include "Request/retry_budget.h"
#include "Request/retry_policy.h"
#include "Request/session_token.h"

#endif  // CAMPHORFERRY_REQUEST_REQUEST_H_
