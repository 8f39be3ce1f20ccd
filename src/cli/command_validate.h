#pragma once

#include "cli/cli_defs.h"

/* Checks files named RECORD.json with the rules that hosts apply, and the references
 * between their records. */
cli_exit_t cli_command_validate (const cli_command_t *command,
                                 const cli_options_t *options);
