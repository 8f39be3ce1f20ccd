#pragma once

#include "cli/cli_defs.h"

/* Implement status, explain and counters, which query an entry. */
cli_exit_t cli_command_status (const cli_command_t *command,
                               const cli_options_t *options);
cli_exit_t cli_command_explain (const cli_command_t *command,
                                const cli_options_t *options);
cli_exit_t cli_command_counters (const cli_command_t *command,
                                 const cli_options_t *options);
