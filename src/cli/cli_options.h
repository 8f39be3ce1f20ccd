#pragma once

#include "cli/cli_defs.h"

typedef enum cli_parse
{
  CLI_PARSE_RUN,
  CLI_PARSE_HELP,  /* Help was printed. */
  CLI_PARSE_ERROR, /* An error was printed. */
} cli_parse_t;

/* Parses the arguments of a command; argv[0] is its name. Texts live until the process
 * ends. */
cli_parse_t cli_options_parse (const cli_command_t *command, int argc, char **argv,
                               cli_options_t *options);
