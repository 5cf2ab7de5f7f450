#ifndef CAMPHORFERRY_PROCESS_PROCESS_H_
#define CAMPHORFERRY_PROCESS_PROCESS_H_

/// Public header of the Process library: what lives for the whole process.

#include "Process/acknowledgement_rule.h"
#include "Process/configuration_task.h"
#include "Process/confirm_batch.h"
#include "Process/counters.h"
#include "Process/event_log.h"
#include "Process/failover_coordinator.h"
#include "Process/grpc_peer_link.h"
#include "Process/grpc_peer_server.h"
#include "Process/peer_link.h"
#include "Process/primary_directory.h"
#include "Process/rate_share.h"
#include "Process/rate_slot_lease.h"
#include "Process/settings.h"

#endif  // CAMPHORFERRY_PROCESS_PROCESS_H_
