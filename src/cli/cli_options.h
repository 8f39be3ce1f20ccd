#pragma once

#include "cli/cli_defs.h"

typedef enum cli_parse
{
  CLI_PARSE_RUN,
  CLI_PARSE_HELP,  /* The help was printed. */
  CLI_PARSE_ERROR, /* An error message was printed. */
} cli_parse_t;

/* Parses the arguments of a command; argv[0] is the name of the command. Sets *options
 * only for CLI_PARSE_RUN; its strings stay valid until the process ends. */
cli_parse_t cli_options_parse (const cli_command_t *command, int argc, char **argv,
                               cli_options_t *options);
