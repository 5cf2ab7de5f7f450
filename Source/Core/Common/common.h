#ifndef CAMPHORFERRY_COMMON_COMMON_H_
#define CAMPHORFERRY_COMMON_COMMON_H_

/// Public header of the Common library, which all other libraries use: time,
/// clocks, identifiers, errors, hashes, validation of names and logging.

#include "Common/build_info.h"
#include "Common/clock.h"
#include "Common/digest.h"
#include "Common/error.h"
#include "Common/fault_list.h"
#include "Common/hybrid_clock.h"
#include "Common/ids.h"
#include "Common/json_text.h"
#include "Common/log.h"
#include "Common/overloaded.h"
#include "Common/rendezvous.h"
#include "Common/text_rules.h"
#include "Common/time.h"

#endif  // CAMPHORFERRY_COMMON_COMMON_H_
