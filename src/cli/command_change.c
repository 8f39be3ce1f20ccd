#include "cli/command_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli_http.h"
#include "cli/cli_output.h"
#include "config/config_store.h"

/* Change that a command makes: sets the state of a named element in an array of a
 * record. */
typedef struct state_change
{
  const char *command;
  const char *record;
  const char *array;
  const char *key;
  const char *state; /* NULL: the element is removed. */
} state_change_t;

static const state_change_t changes[] = {
  { "drain", "hosts", "seats", "name", "draining" },
  { "undrain", "hosts", "seats", "name", NULL },
  { "target-out", "hosts", "targets", "id", "leaving" },
  { "target-in", "hosts", "targets", "id", NULL },
  { "zone-out", "zones", "zones", "name", "out" },
  { "zone-in", "zones", "zones", "name", "in" },
};

/* Returns the change that a command makes, or NULL. */
static const state_change_t *
find_change (const cli_command_t *command)
{
  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      if (strcmp (changes[i].command, command->name) == 0)
        return &changes[i];
    }
  return NULL;
}

/* Reads the current record from the file or the platform. Sets *exists to FALSE if the
 * platform has none. Prints an error and returns FALSE if the record cannot be read. Free
 * *text with g_free. */
static gboolean
read_record (const cli_options_t *options, const char *record, char **text,
             gboolean *exists)
{
  *text = NULL;
  if (options->from)
    {
      GError *error = NULL;
      *exists = g_file_get_contents (options->from, text, NULL, &error);
      if (error)
        cli_print_error ("%s", error->message);
      g_clear_error (&error);
      return *exists;
    }
  const char *url = options->platform ? options->platform : options->publish_to;
  char *path = g_strdup_printf ("/v1/records/%s", record);
  long status = cli_http_call ("GET", url, path, NULL, text);
  *exists = status == 200;
  if (status != 200 && status != 404)
    cli_print_error ("%s%s: %s, HTTP status %ld", url, path,
                     status ? "unexpected response" : "no response", status);
  g_free (path);
  return status == 200 || status == 404;
}

/* Parses the current record. If none exists, returns an empty record of version 0, so
 * that the change publishes version 1. Prints an error and returns NULL if the record is
 * not valid. */
static json_t *
parse_record (const state_change_t *change, const char *text, gboolean exists)
{
  if (!exists)
    return json_pack ("{s:i, s:i, s:[]}", "schema_version", 1, "record_version", 0,
                      change->array);
  jd_config_store_t *store = jd_config_store_new ();
  GError *error = NULL;
  jd_config_store_offer (store, change->record, text, strlen (text), &error);
  jd_config_store_free (store);
  if (error)
    {
      cli_print_error ("the current record is not valid: %s", error->message);
      g_clear_error (&error);
      return NULL;
    }
  return json_loads (text, 0, NULL);
}

/* Turns a record into its next version, in which the named element has the new state. */
static void
apply_change (json_t *record, const state_change_t *change, const char *name)
{
  json_int_t version = json_integer_value (json_object_get (record, "record_version"));
  json_object_set_new (record, "record_version", json_integer (version + 1));
  json_object_del (record, "deleted");
  json_t *array = json_object_get (record, change->array);
  if (!json_is_array (array))
    {
      array = json_array ();
      json_object_set_new (record, change->array, array);
    }
  for (size_t i = json_array_size (array); i > 0; i--)
    {
      const json_t *element = json_array_get (array, i - 1);
      if (g_strcmp0 (json_string_value (json_object_get (element, change->key)), name) ==
          0)
        json_array_remove (array, i - 1);
    }
  if (change->state)
    json_array_append_new (
        array, json_pack ("{s:s, s:s}", change->key, name, "state", change->state));
}

/* Returns TRUE if the fleet has a member or zone with this name. */
static gboolean
fleet_has (const jd_fleet_record_t *fleet, const state_change_t *change, const char *name)
{
  if (strcmp (change->array, "seats") == 0)
    return jd_fleet_record_group_of_member (fleet, name) != NULL;
  return jd_fleet_record_zone (fleet, name) != NULL;
}

/* Returns FALSE and prints an error if the published fleet does not have the member or
 * zone, because a mistyped name would otherwise look like a successful drain. Without a
 * platform or a valid fleet record names pass unchecked; target ids always do. */
static gboolean
check_name (const cli_options_t *options, const state_change_t *change, const char *name)
{
  const char *url = options->platform ? options->platform : options->publish_to;
  char *text = NULL;
  if (!url || strcmp (change->array, "targets") == 0)
    return TRUE;
  long status = cli_http_call ("GET", url, "/v1/records/fleet", NULL, &text);
  jd_fleet_record_t *fleet =
      status == 200 ? jd_fleet_record_parse ("fleet", text, strlen (text), NULL) : NULL;
  gboolean accepted = !fleet || fleet_has (fleet, change, name);
  if (!accepted)
    cli_print_error ("\"%s\" is not in the published fleet", name);
  if (fleet)
    jd_fleet_record_unref (fleet);
  g_free (text);
  return accepted;
}

/* Sends a record to the --publish-to URL; prints an error if it is not accepted. */
static cli_exit_t
publish (const cli_options_t *options, const char *record, json_t *object)
{
  char *path = g_strdup_printf ("/v1/records/%s", record);
  char *text = json_dumps (object, JSON_COMPACT);
  char *response_body = NULL;
  long status = cli_http_call ("PUT", options->publish_to, path, text, &response_body);
  cli_exit_t result = CLI_EXIT_OK;
  if (status < 200 || status > 299)
    {
      cli_print_error ("%s%s: record not accepted, HTTP status %ld", options->publish_to,
                       path, status);
      result = status ? CLI_EXIT_NOT_PUBLISHED : CLI_EXIT_UNREACHABLE;
    }
  g_free (response_body);
  free (text);
  g_free (path);
  return result;
}

/* Publishes the next version if --publish-to was given, and prints the result. */
static cli_exit_t
publish_and_print (const cli_options_t *options, const char *record, json_t *object)
{
  cli_exit_t result = CLI_EXIT_OK;
  if (options->publish_to)
    result = publish (options, record, object);
  if (result != CLI_EXIT_OK)
    return result;
  json_int_t version = json_integer_value (json_object_get (object, "record_version"));
  if (options->json)
    cli_print_json (json_pack ("{s:s, s:I, s:b, s:O}", "record", record, "record_version",
                               version, "published", options->publish_to != NULL,
                               "content", object));
  else if (options->publish_to)
    printf ("published %s version %" JSON_INTEGER_FORMAT "\n", record, version);
  else
    {
      char *text = json_dumps (object, JSON_INDENT (2));
      printf ("%s\n", text);
      free (text);
    }
  return CLI_EXIT_OK;
}

/* Creates the next version of a record with the changed state. The system only reads
 * records from the platform, so the operator publishes the printed record, or gives with
 * --publish-to a service that accepts it. */
cli_exit_t
cli_command_change (const cli_command_t *command, const cli_options_t *options)
{
  const state_change_t *change = find_change (command);
  if (!options->from && !options->platform && !options->publish_to)
    {
      cli_print_error ("give --from, --platform or --publish-to as the source of the "
                       "current %s record",
                       change->record);
      return CLI_EXIT_USAGE;
    }
  char *text = NULL;
  gboolean exists = FALSE;
  if (!read_record (options, change->record, &text, &exists))
    return CLI_EXIT_UNREACHABLE;
  cli_exit_t result = CLI_EXIT_CHECK_FAILED;
  json_t *record = parse_record (change, text, exists);
  if (record && check_name (options, change, options->arguments[0]))
    {
      apply_change (record, change, options->arguments[0]);
      result = publish_and_print (options, change->record, record);
    }
  json_decref (record);
  g_free (text);
  return result;
}
