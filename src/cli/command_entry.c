#include "cli/command_entry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli_http.h"
#include "cli/cli_output.h"
#include "cli/command_story.h"

/* Sends GET for a path to the entry and returns the response body; free with g_free.
 * Prints an error and returns NULL unless the status is 200. */
static char *
read_entry (const cli_options_t *options, const char *path)
{
  char *response_body = NULL;
  long status = cli_http_call ("GET", options->entry, path, NULL, &response_body);
  if (status == 200)
    return response_body;
  if (status == 0)
    cli_print_error ("%s: no response", options->entry);
  else
    cli_print_error ("%s%s: HTTP status %ld", options->entry, path, status);
  g_free (response_body);
  return NULL;
}

/* Returns the JSON object that the entry serves at a path; release with json_decref.
 * Prints an error and returns NULL on failure. */
static json_t *
read_entry_json (const cli_options_t *options, const char *path)
{
  char *response_body = read_entry (options, path);
  if (!response_body)
    return NULL;
  json_t *object = json_loads (response_body, 0, NULL);
  if (!json_is_object (object))
    {
      cli_print_error ("%s%s: the response body is not a JSON object", options->entry,
                       path);
      json_decref (object);
      object = NULL;
    }
  g_free (response_body);
  return object;
}

/* Prints the members of an object as name=value pairs on one line. Null values, nested
 * objects and arrays are omitted, except arrays that start with an integer. */
static void
print_members (const char *prefix, json_t *object)
{
  const char *key;
  json_t *value;
  printf ("%s", prefix);
  json_object_foreach (object, key, value)
  {
    if (json_is_array (value) && json_is_integer (json_array_get (value, 0)))
      {
        char *list = json_dumps (value, JSON_COMPACT);
        printf (" %s=%s", key, list);
        free (list);
      }
    else if (json_is_string (value))
      printf (" %s=%s", key, json_string_value (value));
    else if (json_is_integer (value))
      printf (" %s=%" JSON_INTEGER_FORMAT, key, json_integer_value (value));
    else if (json_is_real (value))
      printf (" %s=%.3f", key, json_real_value (value));
    else if (json_is_boolean (value))
      printf (" %s=%s", key, json_is_true (value) ? "yes" : "no");
  }
  printf ("\n");
}

/* Prints each object of the array at a key on one line, followed by its targets. */
static void
print_array (json_t *object, const char *key, const char *prefix)
{
  size_t index;
  json_t *element;
  json_array_foreach (json_object_get (object, key), index, element)
  {
    print_members (prefix, element);
    /* Only brokers have targets. */
    print_array (element, "targets", "  target:");
  }
}

/* Prints the status of an entry: a line for the entry, a line for all records, and a line
 * for each member, organisation, broker and target; with --json, the whole response. */
cli_exit_t
cli_command_status (const cli_command_t *command, const cli_options_t *options)
{
  json_t *status = read_entry_json (options, "/status");
  if (!status)
    return CLI_EXIT_UNREACHABLE;
  if (options->json)
    {
      cli_print_json (status);
      return CLI_EXIT_OK;
    }
  print_members ("entry:", status);
  print_members ("records:", json_object_get (status, "records"));
  print_array (status, "members", "member:");
  print_array (status, "organisations", "organisation:");
  print_array (status, "brokers", "broker:");
  json_decref (status);
  return CLI_EXIT_OK;
}

/* Prints the trace of a request from log lines if an id is given, else how the entry
 * would plan a search now. */
cli_exit_t
cli_command_explain (const cli_command_t *command, const cli_options_t *options)
{
  if (options->argument_count > 0)
    return cli_command_request_trace (options->arguments[0], options->argument_count > 1
                                                                 ? options->arguments[1]
                                                                 : NULL);
  if (!options->service)
    {
      cli_print_error ("explain needs a request id or --service");
      return CLI_EXIT_USAGE;
    }
  char *service = g_uri_escape_string (options->service, NULL, FALSE);
  char *query = g_uri_escape_string (options->query ? options->query : "", NULL, FALSE);
  char *path = g_strdup_printf ("/explain?service=%s&q=%s", service, query);
  json_t *plan = read_entry_json (options, path);
  g_free (path);
  g_free (query);
  g_free (service);
  if (!plan)
    return CLI_EXIT_UNREACHABLE;
  if (options->json)
    {
      cli_print_json (plan);
      return CLI_EXIT_OK;
    }
  const char *text = json_string_value (json_object_get (plan, "plan"));
  fputs (text ? text : "no plan\n", stdout);
  json_decref (plan);
  return CLI_EXIT_OK;
}

/* Prints a "name value" line of a counter as JSON. Ignores a line without a space. */
static void
print_counter_json (const char *line)
{
  const char *space = strrchr (line, ' ');
  if (!space)
    return;
  char *name = g_strndup (line, (gsize)(space - line));
  cli_print_json (json_pack ("{s:s, s:I}", "name", name, "value",
                             (json_int_t)g_ascii_strtoll (space + 1, NULL, 10)));
  g_free (name);
}

/* Prints the metric counters of the entry. */
cli_exit_t
cli_command_counters (const cli_command_t *command, const cli_options_t *options)
{
  char *text = read_entry (options, "/counters");
  if (!text)
    return CLI_EXIT_UNREACHABLE;
  if (!options->json)
    fputs (text, stdout);
  else
    {
      char **lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line; line++)
        print_counter_json (*line);
      g_strfreev (lines);
    }
  g_free (text);
  return CLI_EXIT_OK;
}
