#pragma once

#include "cli/cli_defs.h"

/* Prints the trace of one request from log lines of hosts: the lines with its id, each
 * preceded by the last known state of its target at that host. Reads the file at path, or
 * standard input if path is NULL. */
cli_exit_t cli_command_request_trace (const char *id, const char *path);
