#ifndef CAMPHORFERRY_VERSION_VERSION_H_
#define CAMPHORFERRY_VERSION_VERSION_H_

/// Public header of the Version library: what lives for a version of the
/// configuration.

#include "Version/configuration.h"

#endif  // CAMPHORFERRY_VERSION_VERSION_H_
