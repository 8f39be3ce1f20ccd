#pragma once

#include "cli/cli_defs.h"

/* Prints the targets that told a jackdaw-host that they are leaving or want a pause. */
cli_exit_t cli_command_targets (const cli_command_t *command,
                                const cli_options_t *options);
