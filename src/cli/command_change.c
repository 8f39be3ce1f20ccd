#include "cli/command_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli_http.h"
#include "cli/cli_output.h"
#include "config/config_store.h"

/* What a command changes: the state of a named element in an array of a record. */
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

/* Returns the change that a command makes. */
static const state_change_t *
change_of (const cli_command_t *command)
{
  for (size_t i = 0; i < G_N_ELEMENTS (changes); i++)
    {
      if (strcmp (changes[i].command, command->name) == 0)
        return &changes[i];
    }
  return NULL;
}

/* Reads a record from a file or a platform; *exists tells whether there is one. Returns
 * FALSE after printing an error. */
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
                     status ? "not readable" : "no answer", status);
  g_free (path);
  return status == 200 || status == 404;
}

/* Parses the record in force, or makes up an empty first version 0. Returns NULL after
 * printing an error. */
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
      cli_print_error ("the record in force is not valid: %s", error->message);
      g_clear_error (&error);
      return NULL;
    }
  return json_loads (text, 0, NULL);
}

/* Makes the next version of a record with the changed state. */
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

/* Returns TRUE when a fleet has the seat or zone of a change. */
static gboolean
fleet_has (const jd_fleet_record_t *fleet, const state_change_t *change, const char *name)
{
  if (strcmp (change->array, "seats") == 0)
    return jd_fleet_record_cell_of_seat (fleet, name) != NULL;
  return jd_fleet_record_zone (fleet, name) != NULL;
}

/* Checks the name against the fleet that the platform publishes, so that a mistyped name
 * does not pass for a drain. Without a platform nothing is checked. */
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
  gboolean good = !fleet || fleet_has (fleet, change, name);
  if (!good)
    cli_print_error ("\"%s\" is not in the published fleet", name);
  if (fleet)
    jd_fleet_record_unref (fleet);
  g_free (text);
  return good;
}

/* Publishes the text of a record. */
static cli_exit_t
publish (const cli_options_t *options, const char *record, json_t *object)
{
  char *path = g_strdup_printf ("/v1/records/%s", record);
  char *text = json_dumps (object, JSON_COMPACT);
  char *answer = NULL;
  long status = cli_http_call ("PUT", options->publish_to, path, text, &answer);
  cli_exit_t result = CLI_EXIT_OK;
  if (status < 200 || status > 299)
    {
      cli_print_error ("%s%s: not accepted, HTTP status %ld", options->publish_to, path,
                       status);
      result = status ? CLI_EXIT_NOT_PUBLISHED : CLI_EXIT_UNREACHABLE;
    }
  g_free (answer);
  free (text);
  g_free (path);
  return result;
}

/* Publishes the next version when that was asked for, and prints the result. */
static cli_exit_t
finish (const cli_options_t *options, const char *record, json_t *object)
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

/* Makes the next version of a record with the changed state. The system cannot write to
 * the platform, so that publishing is up to the operator, or to --publish-to. */
cli_exit_t
cli_command_change (const cli_command_t *command, const cli_options_t *options)
{
  const state_change_t *change = change_of (command);
  if (!options->from && !options->platform && !options->publish_to)
    {
      cli_print_error ("one of --from, --platform and --publish-to must tell where the "
                       "%s record in force is",
                       change->record);
      return CLI_EXIT_USAGE;
    }
  char *text = NULL;
  gboolean exists = FALSE;
  if (!read_record (options, change->record, &text, &exists))
    return CLI_EXIT_UNREACHABLE;
  cli_exit_t result = CLI_EXIT_CHECK_FAILED;
  json_t *record = parse_record (change, text, exists);
  if (record && check_name (options, change, options->names[0]))
    {
      apply_change (record, change, options->names[0]);
      result = finish (options, change->record, record);
    }
  json_decref (record);
  g_free (text);
  return result;
}
