#pragma once

#include <glib.h>

/* Exit statuses of jackdawctl. The numbers are part of its interface. */
typedef enum cli_exit
{
  CLI_EXIT_OK = 0,
  CLI_EXIT_CHECK_FAILED = 1,  /* A record is not valid, or a name or id is unknown. */
  CLI_EXIT_USAGE = 2,         /* Invalid arguments. */
  CLI_EXIT_UNREACHABLE = 3,   /* No usable response from the entry or platform. */
  CLI_EXIT_NOT_PUBLISHED = 4, /* The platform did not accept the record. */
} cli_exit_t;

/* Flags that a command accepts, besides --json and --help. */
typedef enum cli_flag
{
  CLI_FLAG_ENTRY = 1 << 0,
  CLI_FLAG_SERVICE = 1 << 1,
  CLI_FLAG_QUERY = 1 << 2,
  CLI_FLAG_RECORD_SOURCE = 1 << 3,      /* --from, --platform, --publish-to */
  CLI_FLAG_ARGUMENTS_OPTIONAL = 1 << 4, /* Arguments can replace the required flags. */
  CLI_FLAG_METRICS = 1 << 5,
} cli_flag_t;

/* Parsed command line. Options that were not given are NULL. */
typedef struct cli_options
{
  gboolean json;
  const char *entry;   /* Base URL, never NULL. */
  const char *metrics; /* URL of a host's metrics. */
  const char *service;
  const char *query;
  const char *from;
  const char *platform;
  const char *publish_to;
  const char **arguments; /* Positional arguments. */
  int argument_count;
} cli_options_t;

typedef struct cli_command cli_command_t;

struct cli_command
{
  const char *name;
  const char *summary;
  const char *argument_names; /* Shown in the help; NULL: no positional arguments. */
  int max_arguments;
  unsigned flags; /* cli_flag_t */
  cli_exit_t (*run) (const cli_command_t *command, const cli_options_t *options);
};
