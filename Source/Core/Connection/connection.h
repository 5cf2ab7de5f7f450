#ifndef CAMPHORFERRY_CONNECTION_CONNECTION_H_
#define CAMPHORFERRY_CONNECTION_CONNECTION_H_

/// Public header of the Connection library: event loop, HTTP client and server,
/// connections to endpoints and their failure detection, and the client of the
/// platform's object store.

#include "Connection/endpoint_link.h"
#include "Connection/event_loop.h"
#include "Connection/http_client.h"
#include "Connection/http_endpoint_link.h"
#include "Connection/http_message.h"
#include "Connection/http_object_store.h"
#include "Connection/http_server.h"
#include "Connection/link_monitor.h"
#include "Connection/object_store.h"
#include "Connection/system_address.h"

#endif  // CAMPHORFERRY_CONNECTION_CONNECTION_H_
