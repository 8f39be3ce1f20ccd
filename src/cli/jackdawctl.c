#include <stdio.h>
#include <string.h>

#include "base/log_event.h"
#include "cli/cli_options.h"
#include "cli/cli_output.h"
#include "cli/command_change.h"
#include "cli/command_entry.h"
#include "cli/command_validate.h"

#define MAX_FILES 10000

static const cli_command_t commands[] = {
  { "validate", "Check record files as a host would, without any network.", "RECORD.json",
    MAX_FILES, 0, cli_command_validate },
  { "status", "Show an entry's records, members, limits and brokers.", NULL, 0,
    CLI_FLAG_ENTRY, cli_command_status },
  { "explain",
    "Tell a request's story from log lines of hosts (a file or standard input), or show "
    "how an entry would plan a search now.",
    "ID LOG", 2,
    CLI_FLAG_ENTRY | CLI_FLAG_SERVICE | CLI_FLAG_QUERY | CLI_FLAG_NAMES_OPTIONAL,
    cli_command_explain },
  { "counters", "Show an entry's metric counters.", NULL, 0, CLI_FLAG_ENTRY,
    cli_command_counters },
  { "drain", "Make the next hosts record, in which a seat drains.", "SEAT", 1,
    CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "undrain", "Make the next hosts record, in which a seat serves again.", "SEAT", 1,
    CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "target-out", "Make the next hosts record, in which a target is leaving.", "TARGET",
    1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "target-in", "Make the next hosts record, in which a target serves again.", "TARGET",
    1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "zone-out", "Make the next zones record, in which a zone is out.", "ZONE", 1,
    CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "zone-in", "Make the next zones record, in which a zone is in.", "ZONE", 1,
    CLI_FLAG_RECORD_SOURCE, cli_command_change },
};

/* Prints the list of commands and the exit statuses. */
static void
print_usage (FILE *file)
{
  fprintf (file, "Usage: jackdawctl COMMAND [--help] ...\n\nCommands:\n");
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (file, "  %-11s %s\n", commands[i].name, commands[i].summary);
  fprintf (file, "\nExit status:\n"
                 "  0  success\n"
                 "  1  a record is not valid, or a name is not in the published fleet\n"
                 "  2  wrong arguments\n"
                 "  3  no good answer from the entry or the platform\n"
                 "  4  the record was not accepted\n");
}

/* Returns the command of a name, or NULL. */
static const cli_command_t *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      if (strcmp (commands[i].name, name) == 0)
        return &commands[i];
    }
  return NULL;
}

/* Finds the command, parses its arguments and runs it. */
int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";
  /* Refusals of records are part of the output; their log lines would repeat them. */
  jd_log_install ("jackdawctl", NULL, G_LOG_LEVEL_ERROR);
  if (strcmp (name, "--help") == 0 || strcmp (name, "-h") == 0 ||
      strcmp (name, "help") == 0)
    {
      print_usage (stdout);
      return CLI_EXIT_OK;
    }
  if (strcmp (name, "--version") == 0)
    {
      printf ("jackdawctl %s\n", JD_VERSION);
      return CLI_EXIT_OK;
    }
  const cli_command_t *command = find_command (name);
  if (!command)
    {
      cli_print_error ("unknown command \"%s\"", name);
      print_usage (stderr);
      return CLI_EXIT_USAGE;
    }
  cli_options_t options;
  switch (cli_options_parse (command, argc - 1, argv + 1, &options))
    {
    case CLI_PARSE_RUN:
      return command->run (command, &options);
    case CLI_PARSE_HELP:
      return CLI_EXIT_OK;
    case CLI_PARSE_ERROR:
    default:
      return CLI_EXIT_USAGE;
    }
}
