#pragma once

#include "cli/cli_defs.h"

/* Prints what the log lines of hosts tell of one request: its own lines, and what its
 * host believed of the targets that they name. Reads a file, or standard input. */
cli_exit_t cli_command_story (const char *id, const char *path);
