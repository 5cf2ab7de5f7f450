#include "StandIns/database_core.h"
