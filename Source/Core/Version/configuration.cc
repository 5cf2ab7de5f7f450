#include "Version/configuration.h"
