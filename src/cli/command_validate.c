#include "cli/command_validate.h"

#include <stdio.h>
#include <string.h>

#include "cli/cli_output.h"
#include "cli/record_references.h"
#include "config/config_store.h"

/* Returns the record name of a file: its base name without ".json". */
static char *
record_name (const char *path)
{
  char *name = g_path_get_basename (path);
  if (g_str_has_suffix (name, ".json"))
    name[strlen (name) - strlen (".json")] = '\0';
  return name;
}

/* Prints the result for one file; error is NULL for a valid record. */
static void
report_file (const cli_options_t *options, const char *path, const char *name,
             uint64_t version, const char *error)
{
  if (options->json)
    cli_print_json (json_pack ("{s:s, s:s, s:b, s:I, s:s*}", "file", path, "record", name,
                               "valid", error == NULL, "record_version",
                               (json_int_t)version, "error", error));
  else if (error)
    printf ("%s: invalid: %s\n", path, error);
  else
    printf ("%s: valid, %s version %" G_GUINT64_FORMAT "\n", path, name,
            (guint64)version);
}

/* Checks one file, adds its record to the store and prints the result. Returns TRUE if
 * the record is valid. */
static gboolean
validate_file (const cli_options_t *options, jd_config_store_t *store, const char *path)
{
  char *text = NULL;
  gsize length = 0;
  GError *error = NULL;
  char *name = record_name (path);
  gboolean valid = g_file_get_contents (path, &text, &length, &error);
  if (valid)
    {
      jd_adoption_t adoption = jd_config_store_offer (store, name, text, length, &error);
      valid = adoption == JD_ADOPTION_ADOPTED || adoption == JD_ADOPTION_CURRENT;
      if (!valid && !error)
        g_set_error (&error, JD_RECORD_ERROR, JD_RECORD_ERROR_FIELD,
                     "%s: another file has the same or a higher version of this record",
                     name);
    }
  report_file (options, path, name, valid ? jd_config_store_version (store, name) : 0,
               error ? error->message : NULL);
  g_clear_error (&error);
  g_free (text);
  g_free (name);
  return valid;
}

/* Callback of the reference check; prints a warning for one unresolved reference. */
static void
report_reference (void *context, const char *message)
{
  const cli_options_t *options = context;
  if (options->json)
    cli_print_json (json_pack ("{s:s}", "warning", message));
  else
    printf ("warning: %s\n", message);
}

/* Checks all files. Unresolved references between records only print warnings, because
 * the platform may have the missing records. */
cli_exit_t
cli_command_validate (const cli_command_t *command, const cli_options_t *options)
{
  jd_config_store_t *store = jd_config_store_new ();
  gboolean valid = TRUE;
  for (int i = 0; i < options->argument_count; i++)
    valid = validate_file (options, store, options->arguments[i]) && valid;
  cli_record_references_check (store, report_reference, (void *)options);
  jd_config_store_free (store);
  return valid ? CLI_EXIT_OK : CLI_EXIT_CHECK_FAILED;
}
