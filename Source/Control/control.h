#ifndef CAMPHORFERRY_CONTROL_CONTROL_H_
#define CAMPHORFERRY_CONTROL_CONTROL_H_

/// Public header of the Control library: the command-line client for operators.

#include "Control/apply_report.h"
#include "Control/command_line.h"
#include "Control/command_runner.h"
#include "Control/operator_client.h"

#endif  // CAMPHORFERRY_CONTROL_CONTROL_H_
