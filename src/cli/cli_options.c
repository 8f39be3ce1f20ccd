#include "cli/cli_options.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#define DEFAULT_ENTRY "http://127.0.0.1:8080"
#define ENTRY_VARIABLE "JACKDAW_ENTRY"
#define MAX_ERRORS 10

enum
{
  ARG_HELP,
  ARG_JSON,
  ARG_ENTRY,
  ARG_SERVICE,
  ARG_QUERY,
  ARG_FROM,
  ARG_PLATFORM,
  ARG_PUBLISH_TO,
  ARG_NAMES,
  ARG_END,
  ARG_TOTAL,
};

/* Adds a text flag to the table when the command takes it. */
static struct arg_str *
add_text (void **table, int *count, gboolean taken, const char *name, const char *value,
          const char *help, gboolean required)
{
  if (!taken)
    return NULL;
  struct arg_str *text =
      required ? arg_str1 (NULL, name, value, help) : arg_str0 (NULL, name, value, help);
  table[(*count)++] = text;
  return text;
}

/* Returns the value of a text flag, or NULL. */
static const char *
value_of (const struct arg_str *text)
{
  return text && text->count > 0 ? text->sval[0] : NULL;
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

/* Returns the entry's URL from the flag, the environment or the default. */
static const char *
entry_url (const char *given)
{
  const char *variable = getenv (ENTRY_VARIABLE);
  if (given)
    return given;
  return variable ? variable : DEFAULT_ENTRY;
}

/* Parses one command line. */
cli_parse_t
cli_options_parse (const cli_command_t *command, int argc, char **argv,
                   cli_options_t *options)
{
  /* Kept until the process ends, because the options point into it. */
  static void *table[ARG_TOTAL];
  int count = 0;
  gboolean source = (command->flags & CLI_FLAG_RECORD_SOURCE) != 0;
  gboolean names_optional = (command->flags & CLI_FLAG_NAMES_OPTIONAL) != 0;
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help and exit");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON lines");
  table[count++] = help;
  table[count++] = json;
  struct arg_str *entry =
      add_text (table, &count, (command->flags & CLI_FLAG_ENTRY) != 0, "entry", "<url>",
                "entry to ask; default " ENTRY_VARIABLE " or " DEFAULT_ENTRY, FALSE);
  struct arg_str *service =
      add_text (table, &count, (command->flags & CLI_FLAG_SERVICE) != 0, "service",
                "<name>", "service of the search", !names_optional);
  struct arg_str *query = add_text (table, &count, (command->flags & CLI_FLAG_QUERY) != 0,
                                    "query", "<text>", "query of the search", FALSE);
  struct arg_str *from = add_text (table, &count, source, "from", "<file>",
                                   "file with the record in force", FALSE);
  struct arg_str *platform = add_text (table, &count, source, "platform", "<url>",
                                       "platform to read records from", FALSE);
  struct arg_str *publish =
      add_text (table, &count, source, "publish-to", "<url>",
                "service that accepts PUT /v1/records/NAME; also read from", FALSE);
  struct arg_str *names = NULL;
  if (command->names)
    table[count++] = names = arg_strn (NULL, NULL, command->names, names_optional ? 0 : 1,
                                       command->names_max, NULL);
  struct arg_end *end = arg_end (MAX_ERRORS);
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
    .entry = entry_url (value_of (entry)),
    .service = value_of (service),
    .query = value_of (query),
    .from = value_of (from),
    .platform = value_of (platform),
    .publish_to = value_of (publish),
    .names = names ? names->sval : NULL,
    .name_count = names ? names->count : 0,
  };
  return CLI_PARSE_RUN;
}
