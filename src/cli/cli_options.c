#include "cli/cli_options.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define DEFAULT_ENTRY "http://127.0.0.1:8080"
#define ENTRY_VARIABLE "JACKDAW_ENTRY"
#define MAX_PRINTED_ERRORS 10

enum
{
  ARG_HELP,
  ARG_JSON,
  ARG_ENTRY,
  ARG_METRICS,
  ARG_SERVICE,
  ARG_QUERY,
  ARG_FROM,
  ARG_PLATFORM,
  ARG_PUBLISH_TO,
  ARG_POSITIONAL,
  ARG_END,
  ARG_TOTAL,
};

/* Adds a string option to the table and returns it, or NULL if the command does not
 * accept it. */
static struct arg_str *
add_option (void **table, int *count, gboolean accepted, const char *name,
            const char *value, const char *help, gboolean required)
{
  if (!accepted)
    return NULL;
  struct arg_str *option =
      required ? arg_str1 (NULL, name, value, help) : arg_str0 (NULL, name, value, help);
  table[(*count)++] = option;
  return option;
}

/* Returns the value of a string option, or NULL if it was not given. */
static const char *
option_value (const struct arg_str *option)
{
  return option && option->count > 0 ? option->sval[0] : NULL;
}

/* Prints the help of a command. */
static void
print_help (const cli_command_t *command, void **table)
{
  printf ("Usage: jackdawctl %s", command->name);
  arg_print_syntax (stdout, table, "\n");
  printf ("%s\n\n", command->summary);
  arg_print_glossary (stdout, table, "  %-26s %s\n");
}

/* Returns the base URL of the entry: the value of --entry (may be NULL), else the
 * environment variable, else the default. */
static const char *
entry_url (const char *flag_value)
{
  const char *variable = getenv (ENTRY_VARIABLE);
  if (flag_value)
    return flag_value;
  return variable ? variable : DEFAULT_ENTRY;
}

/* Parses the command line of one command; prints help or errors. */
cli_parse_t
cli_options_parse (const cli_command_t *command, int argc, char **argv,
                   cli_options_t *options)
{
  /* Never freed, because the strings in *options belong to it. */
  static void *table[ARG_TOTAL];
  int count = 0;
  gboolean accepts_record_source = (command->flags & CLI_FLAG_RECORD_SOURCE) != 0;
  gboolean arguments_optional = (command->flags & CLI_FLAG_ARGUMENTS_OPTIONAL) != 0;
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON lines");
  table[count++] = help;
  table[count++] = json;
  struct arg_str *entry = add_option (
      table, &count, (command->flags & CLI_FLAG_ENTRY) != 0, "entry", "<url>",
      "base URL of the entry; default " ENTRY_VARIABLE " or " DEFAULT_ENTRY, FALSE);
  struct arg_str *metrics =
      add_option (table, &count, (command->flags & CLI_FLAG_METRICS) != 0, "metrics",
                  "<url>", "URL of the metrics of a jackdaw-host", TRUE);
  struct arg_str *service =
      add_option (table, &count, (command->flags & CLI_FLAG_SERVICE) != 0, "service",
                  "<name>", "service of the search", !arguments_optional);
  struct arg_str *query =
      add_option (table, &count, (command->flags & CLI_FLAG_QUERY) != 0, "query",
                  "<text>", "query of the search", FALSE);
  struct arg_str *from = add_option (table, &count, accepts_record_source, "from",
                                     "<file>", "file with the current record", FALSE);
  struct arg_str *platform = add_option (table, &count, accepts_record_source, "platform",
                                         "<url>", "platform to read records from", FALSE);
  struct arg_str *publish_to = add_option (
      table, &count, accepts_record_source, "publish-to", "<url>",
      "URL that accepts PUT /v1/records/NAME; records are read from it too", FALSE);
  struct arg_str *arguments = NULL;
  if (command->argument_names)
    table[count++] = arguments =
        arg_strn (NULL, NULL, command->argument_names, arguments_optional ? 0 : 1,
                  command->max_arguments, NULL);
  struct arg_end *end = arg_end (MAX_PRINTED_ERRORS);
  table[count] = end;
  if (arg_nullcheck (table) != 0)
    g_error ("out of memory");
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0)
    {
      print_help (command, table);
      return CLI_PARSE_HELP;
    }
  if (errors > 0)
    {
      char *program = g_strdup_printf ("jackdawctl %s", command->name);
      arg_print_errors (stderr, end, program);
      g_free (program);
      return CLI_PARSE_ERROR;
    }
  *options = (cli_options_t){
    .json = json->count > 0,
    .entry = entry_url (option_value (entry)),
    .metrics = option_value (metrics),
    .service = option_value (service),
    .query = option_value (query),
    .from = option_value (from),
    .platform = option_value (platform),
    .publish_to = option_value (publish_to),
    .arguments = arguments ? arguments->sval : NULL,
    .argument_count = arguments ? arguments->count : 0,
  };
  return CLI_PARSE_RUN;
}
