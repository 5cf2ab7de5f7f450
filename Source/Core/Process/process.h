#ifndef CAMPHORFERRY_PROCESS_PROCESS_H_
#define CAMPHORFERRY_PROCESS_PROCESS_H_

/// Public header of the Process library: what lives for the whole process.

#include "Process/acknowledgement_rule.h"
#include "Process/acknowledgement_task.h"
#include "Process/client_task.h"
#include "Process/configuration_task.h"
#include "Process/confirm_batch.h"
#include "Process/counters.h"
#include "Process/daemon.h"
#include "Process/endpoint_directory.h"
#include "Process/endpoint_owner.h"
#include "Process/endpoint_task.h"
#include "Process/event_log.h"
#include "Process/failover_coordinator.h"
#include "Process/failover_task.h"
#include "Process/grpc_peer_link.h"
#include "Process/grpc_peer_server.h"
#include "Process/lender_choice.h"
#include "Process/membership.h"
#include "Process/membership_task.h"
#include "Process/operator_task.h"
#include "Process/peer_codec.h"
#include "Process/peer_link.h"
#include "Process/primary_directory.h"
#include "Process/rate_share.h"
#include "Process/rate_slot_lease.h"
#include "Process/rate_task.h"
#include "Process/request_context.h"
#include "Process/request_task.h"
#include "Process/settings.h"
#include "Process/statement_router.h"
#include "Process/timeline.h"

#endif  // CAMPHORFERRY_PROCESS_PROCESS_H_
