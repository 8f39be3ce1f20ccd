#include <stdio.h>
#include <string.h>

#include "base/log_event.h"
#include "cli/cli_options.h"
#include "cli/cli_output.h"
#include "cli/command_change.h"
#include "cli/command_entry.h"
#include "cli/command_targets.h"
#include "cli/command_validate.h"

#define MAX_FILES 10000

static const cli_command_t commands[] = {
  { "validate",
    "Check record files with the rules that hosts apply, without any network.",
    "RECORD.json", MAX_FILES, 0, cli_command_validate },
  { "status", "Show an entry's records, members, limits and brokers.", NULL, 0,
    CLI_FLAG_ENTRY, cli_command_status },
  { "explain",
    "Show the trace of a request from log lines of hosts (a file or standard input), or "
    "how an entry would plan a search now.",
    "ID LOG", 2,
    CLI_FLAG_ENTRY | CLI_FLAG_SERVICE | CLI_FLAG_QUERY | CLI_FLAG_ARGUMENTS_OPTIONAL,
    cli_command_explain },
  { "counters", "Show an entry's metric counters.", NULL, 0, CLI_FLAG_ENTRY,
    cli_command_counters },
  { "targets",
    "Show the targets that told a jackdaw-host that they are leaving or want a pause, "
    "with the age of each state.",
    NULL, 0, CLI_FLAG_METRICS, cli_command_targets },
  { "drain", "Create the next version of the hosts record, with a seat drained.", "SEAT",
    1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "undrain", "Create the next version of the hosts record, with a seat restored.",
    "SEAT", 1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "target-out", "Create the next version of the hosts record, with a target drained.",
    "TARGET", 1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "target-in", "Create the next version of the hosts record, with a target restored.",
    "TARGET", 1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "zone-out", "Create the next version of the zones record, with a zone drained.",
    "ZONE", 1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
  { "zone-in", "Create the next version of the zones record, with a zone restored.",
    "ZONE", 1, CLI_FLAG_RECORD_SOURCE, cli_command_change },
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
                 "  2  invalid arguments\n"
                 "  3  no usable response from the entry or the platform\n"
                 "  4  the record was not accepted\n");
}

/* Returns the command with this name, or NULL. */
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

/* Runs the command that the first argument names. */
int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";
  /* The output already reports refused records; log lines would duplicate the reports. */
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
