#ifndef CAMPHORFERRY_PROCESS_PROCESS_H_
#define CAMPHORFERRY_PROCESS_PROCESS_H_

/// Public header of the Process library: what lives for the whole process.

#include "Process/acknowledgement_rule.h"
#include "Process/counters.h"
#include "Process/failover_coordinator.h"

#endif  // CAMPHORFERRY_PROCESS_PROCESS_H_
