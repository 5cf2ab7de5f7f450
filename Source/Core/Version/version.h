#ifndef CAMPHORFERRY_VERSION_VERSION_H_
#define CAMPHORFERRY_VERSION_VERSION_H_

/// Public header of the Version library: types whose objects live as long as
/// one version of the configuration.

#include "Version/apply.h"
#include "Version/configuration.h"
#include "Version/configuration_check.h"
#include "Version/configuration_json.h"
#include "Version/configuration_tracker.h"
#include "Version/declarations.h"
#include "Version/key_ring.h"
#include "Version/plan.h"

#endif  // CAMPHORFERRY_VERSION_VERSION_H_
