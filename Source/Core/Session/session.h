#ifndef CAMPHORFERRY_SESSION_SESSION_H_
#define CAMPHORFERRY_SESSION_SESSION_H_

/// Public header of the Session library: client sessions with values, prepared
/// statements and transactions, the database groups behind them, and the proxy
/// process.

#include "Session/admission.h"
#include "Session/admission_queue.h"
#include "Session/admission_task.h"
#include "Session/channel_state.h"
#include "Session/client_session.h"
#include "Session/connection_plan.h"
#include "Session/directory.h"
#include "Session/directory_watcher.h"
#include "Session/endpoint_channel.h"
#include "Session/endpoint_pool.h"
#include "Session/failure_estimate.h"
#include "Session/fleet_membership.h"
#include "Session/fleet_task.h"
#include "Session/fleet_transport.h"
#include "Session/forwarded_statements.h"
#include "Session/group_context.h"
#include "Session/hedge_budget.h"
#include "Session/initial_configuration_check.h"
#include "Session/leadership_proofs.h"
#include "Session/member_command.h"
#include "Session/message_stream.h"
#include "Session/primary_monitor.h"
#include "Session/primary_view.h"
#include "Session/promotion_lease.h"
#include "Session/promotion_order.h"
#include "Session/promotion_plan.h"
#include "Session/promotion_task.h"
#include "Session/proxy.h"
#include "Session/proxy_metrics.h"
#include "Session/service_group.h"
#include "Session/session_state.h"
#include "Session/statement.h"
#include "Session/statement_attempt.h"
#include "Session/statement_forwarding.h"
#include "Session/statement_run.h"
#include "Session/transaction_channel.h"
#include "Session/watch_lengths.h"
#include "Session/wire_codec.h"
#include "Session/workspace_limiter.h"

#endif  // CAMPHORFERRY_SESSION_SESSION_H_
