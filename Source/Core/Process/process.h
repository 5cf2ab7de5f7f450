#ifndef CAMPHORFERRY_PROCESS_PROCESS_H_
#define CAMPHORFERRY_PROCESS_PROCESS_H_

/// Public header of the Process library: what lives for the whole process.

#include "Process/counters.h"
#include "Process/lender_choice.h"
#include "Process/membership.h"
#include "Process/rate_share.h"
#include "Process/rate_slot_lease.h"

#endif  // CAMPHORFERRY_PROCESS_PROCESS_H_
