#pragma once

#include "cli/cli_defs.h"

/* Implements drain, undrain, target-out, target-in, zone-out and zone-in: prints or
 * publishes the next version of the record that holds the state. */
cli_exit_t cli_command_change (const cli_command_t *command,
                               const cli_options_t *options);
