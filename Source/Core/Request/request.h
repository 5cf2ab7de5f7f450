#ifndef CAMPHORFERRY_REQUEST_REQUEST_H_
#define CAMPHORFERRY_REQUEST_REQUEST_H_

/// Public header of the Request library: what lives for one request.

#include "Request/endpoint_role.h"
#include "Request/operation.h"
#include "Request/outcome.h"
#include "Request/read_router.h"

#endif  // CAMPHORFERRY_REQUEST_REQUEST_H_
