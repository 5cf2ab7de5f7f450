#ifndef CAMPHORFERRY_PROCESS_PROCESS_H_
#define CAMPHORFERRY_PROCESS_PROCESS_H_

/// Public header of the Process library: the daemon process and its components.

#include "Process/acknowledgement_task.h"
#include "Process/acknowledgement_tracker.h"
#include "Process/client_http_server.h"
#include "Process/configuration_task.h"
#include "Process/confirm_batcher.h"
#include "Process/counters.h"
#include "Process/daemon.h"
#include "Process/endpoint_directory.h"
#include "Process/endpoint_owner.h"
#include "Process/endpoint_pool.h"
#include "Process/event_log.h"
#include "Process/failover_coordinator.h"
#include "Process/failover_task.h"
#include "Process/grpc_peer_client.h"
#include "Process/grpc_peer_server.h"
#include "Process/lender_selector.h"
#include "Process/local_rate_limiter.h"
#include "Process/membership.h"
#include "Process/membership_task.h"
#include "Process/operator_http_server.h"
#include "Process/peer_client.h"
#include "Process/peer_codec.h"
#include "Process/primary_directory.h"
#include "Process/rate_limit_task.h"
#include "Process/rate_slot_lease_manager.h"
#include "Process/request_context.h"
#include "Process/request_task.h"
#include "Process/settings.h"
#include "Process/statement_router.h"
#include "Process/timeline.h"

#endif  // CAMPHORFERRY_PROCESS_PROCESS_H_
