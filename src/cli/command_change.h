#pragma once

#include "cli/cli_defs.h"

/* drain, undrain, target-out, target-in, zone-out, zone-in: print or publish the next
 * version of the record that holds the state. */
cli_exit_t cli_command_change (const cli_command_t *command,
                               const cli_options_t *options);
