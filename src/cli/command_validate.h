#pragma once

#include "cli/cli_defs.h"

/* Checks files named RECORD.json as a host would, and references between them. */
cli_exit_t cli_command_validate (const cli_command_t *command,
                                 const cli_options_t *options);
