#ifndef CAMPHORFERRY_COMMON_COMMON_H_
#define CAMPHORFERRY_COMMON_COMMON_H_

/// Public header of the Common library: time, identifiers, errors, clocks,
/// hashes and logs that all other libraries use.

#include "Common/clock.h"
#include "Common/digest.h"
#include "Common/error.h"
#include "Common/fault_list.h"
#include "Common/hybrid_clock.h"
#include "Common/ids.h"
#include "Common/log.h"
#include "Common/overloaded.h"
#include "Common/rendezvous.h"
#include "Common/text_rules.h"
#include "Common/time.h"

#endif  // CAMPHORFERRY_COMMON_COMMON_H_
