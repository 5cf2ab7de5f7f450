#ifndef CAMPHORFERRY_CONNECTION_CONNECTION_H_
#define CAMPHORFERRY_CONNECTION_CONNECTION_H_

/// Public header of the Connection library: what lives for a connection.

#include "Connection/event_loop.h"
#include "Connection/http_client.h"
#include "Connection/http_message.h"
#include "Connection/http_server.h"
#include "Connection/link_monitor.h"

#endif  // CAMPHORFERRY_CONNECTION_CONNECTION_H_
