#include "config/settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Flags of every program: --help, --version, --check-settings. */
#define COMMON_FLAG_COUNT 3

/* Returns the error domain of settings. */
GQuark
jd_settings_error_quark (void)
{
  return g_quark_from_static_string ("jd-settings-error");
}

/* The argtable entries of a program: the common flags, one entry for each setting, and
 * the end marker. */
typedef struct flag_table
{
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_lit *check;
  struct arg_end *end;
  void **entries;
  uint32_t entry_count;
} flag_table_t;

/* Returns the name of the environment variable of a setting; free with g_free. */
static char *
environment_name (const char *name)
{
  char *variable = g_strdup_printf ("JACKDAW_%s", name);
  for (char *c = variable; *c; c++)
    *c = *c == '-' ? '_' : g_ascii_toupper (*c);
  return variable;
}

/* Returns the help text of a setting with its range and default. The text is interned,
 * because argtable keeps the pointer. */
static const char *
help_text (const jd_setting_t *setting)
{
  GString *text = g_string_new (setting->help);
  if (setting->type == JD_SETTING_INTEGER)
    g_string_append_printf (text, " (%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT ")",
                            setting->min, setting->max);
  if (setting->default_value)
    g_string_append_printf (text, ", default %s", setting->default_value);
  if (setting->required)
    g_string_append (text, ", required");
  const char *interned = g_intern_string (text->str);
  g_string_free (text, TRUE);
  return interned;
}

/* Builds the argtable entries of a program. */
static flag_table_t
flag_table_new (const jd_settings_program_t *program)
{
  flag_table_t table = { .entry_count = COMMON_FLAG_COUNT + program->setting_count + 1 };
  table.entries = g_new0 (void *, table.entry_count);
  table.entries[0] = table.help = arg_lit0 ("h", "help", "print this help and exit");
  table.entries[1] = table.version =
      arg_lit0 (NULL, "version", "print the version and exit");
  table.entries[2] = table.check =
      arg_lit0 (NULL, "check-settings", "check the settings and exit");
  for (uint32_t i = 0; i < program->setting_count; i++)
    {
      const jd_setting_t *setting = &program->settings[i];
      void *entry;
      if (setting->type == JD_SETTING_FLAG)
        entry = arg_lit0 (NULL, setting->name, help_text (setting));
      else
        entry = arg_str0 (NULL, setting->name,
                          setting->type == JD_SETTING_INTEGER ? "<n>" : "<text>",
                          help_text (setting));
      table.entries[COMMON_FLAG_COUNT + i] = entry;
    }
  table.entries[table.entry_count - 1] = table.end = arg_end (10);
  return table;
}

/* Parses and stores an integer. Returns FALSE with an error if it is out of range; origin
 * names the flag or variable in errors. */
static gboolean
set_integer (jd_setting_t *setting, const char *text, const char *origin, GError **error)
{
  char *end = NULL;
  gint64 value = g_ascii_strtoll (text, &end, 10);
  if (end == text || *end || value < setting->min || value > setting->max)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "%s: \"%s\" is not an integer from %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   origin, text, setting->min, setting->max);
      return FALSE;
    }
  setting->integer = value;
  return TRUE;
}

/* Parses and stores the value of a setting. Returns FALSE with an error if it is invalid;
 * origin names the flag or variable in errors. */
static gboolean
set_value (jd_setting_t *setting, const char *text, const char *origin, GError **error)
{
  if (setting->type == JD_SETTING_FLAG)
    {
      gboolean is_set = strcmp (text, "1") == 0 || strcmp (text, "true") == 0;
      if (!is_set && strcmp (text, "0") != 0 && strcmp (text, "false") != 0)
        {
          g_set_error (error, JD_SETTINGS_ERROR, 0,
                       "%s: \"%s\" is not one of 1, true, 0, false", origin, text);
          return FALSE;
        }
      setting->integer = is_set;
      return TRUE;
    }
  setting->text = g_intern_string (text);
  if (setting->type == JD_SETTING_INTEGER)
    return set_integer (setting, text, origin, error);
  if (*text == '\0')
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "%s: must not be empty", origin);
      return FALSE;
    }
  return TRUE;
}

/* Returns the value that the command line sets, or NULL; that of a flag without a value
 * is "1". */
static const char *
flag_value (const jd_setting_t *setting, const void *entry)
{
  if (setting->type == JD_SETTING_FLAG)
    return ((const struct arg_lit *)entry)->count ? "1" : NULL;
  const struct arg_str *text = entry;
  return text->count ? text->sval[0] : NULL;
}

/* Loads a setting from its flag, else from its variable, else from its default. Returns
 * FALSE with an error if the value is invalid or a required one is missing. */
static gboolean
load_setting (jd_setting_t *setting, const void *entry, GError **error)
{
  char *variable = environment_name (setting->name);
  char *flag = g_strdup_printf ("--%s", setting->name);
  const char *flag_text = flag_value (setting, entry);
  const char *variable_text = getenv (variable);
  gboolean is_valid = TRUE;
  setting->given = flag_text || variable_text;
  if (flag_text)
    is_valid = set_value (setting, flag_text, flag, error);
  else if (variable_text)
    is_valid = set_value (setting, variable_text, variable, error);
  else if (setting->default_value)
    is_valid = set_value (setting, setting->default_value, flag, error);
  else if (setting->required)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "%s: is required (or set %s)", flag,
                   variable);
      is_valid = FALSE;
    }
  g_free (variable);
  g_free (flag);
  return is_valid;
}

/* Loads all settings and runs the check of the program. Returns FALSE with the first
 * error. */
static gboolean
load_settings (jd_settings_program_t *program, const flag_table_t *table, GError **error)
{
  for (uint32_t i = 0; i < program->setting_count; i++)
    {
      if (!load_setting (&program->settings[i], table->entries[COMMON_FLAG_COUNT + i],
                         error))
        return FALSE;
    }
  return !program->check || program->check (program->context, error);
}

/* Prints the usage and one line for each flag. */
static void
print_help (const jd_settings_program_t *program, const flag_table_t *table)
{
  printf ("%s: %s\n\nUsage: %s", program->name, program->summary, program->name);
  arg_print_syntax (stdout, table->entries, "\n\n");
  arg_print_glossary (stdout, table->entries, "  %-32s %s\n");
  printf (
      "\nThe environment variable JACKDAW_ plus the name of a setting, in upper case\n"
      "with underscores, sets it as well. The flag takes precedence.\n");
}

/* Handles the common flags; without one it loads the settings. error_count is the number
 * of errors that argtable found on the command line. */
static jd_settings_outcome_t
handle_flags (jd_settings_program_t *program, const flag_table_t *table, int error_count)
{
  if (table->help->count)
    {
      print_help (program, table);
      return JD_SETTINGS_EXIT_OK;
    }
  if (table->version->count)
    {
      printf ("%s %s\n", program->name, JD_VERSION);
      return JD_SETTINGS_EXIT_OK;
    }
  if (error_count > 0)
    {
      arg_print_errors (stderr, table->end, program->name);
      return JD_SETTINGS_EXIT_ERROR;
    }
  GError *error = NULL;
  if (!load_settings (program, table, &error))
    {
      fprintf (stderr, "%s: %s\n", program->name, error->message);
      g_error_free (error);
      return JD_SETTINGS_EXIT_ERROR;
    }
  if (!table->check->count)
    return JD_SETTINGS_RUN;
  printf ("settings are valid\n");
  return JD_SETTINGS_EXIT_OK;
}

/* Reads the command line and the environment into the settings of a program. Prints
 * errors to standard error. */
jd_settings_outcome_t
jd_settings_load (jd_settings_program_t *program, int argc, char **argv)
{
  flag_table_t table = flag_table_new (program);
  jd_settings_outcome_t outcome = JD_SETTINGS_EXIT_ERROR;
  if (arg_nullcheck (table.entries) == 0)
    {
      int error_count = arg_parse (argc, argv, table.entries);
      outcome = handle_flags (program, &table, error_count);
    }
  arg_freetable (table.entries, table.entry_count);
  g_free (table.entries);
  return outcome;
}

/* Returns TRUE if a text is "IP:port" with a numeric IPv4 address; FALSE for NULL. */
gboolean
jd_settings_is_address (const char *text)
{
  const char *colon = text ? strrchr (text, ':') : NULL;
  if (!colon || colon - text >= INET_ADDRSTRLEN)
    return FALSE;
  char host[INET_ADDRSTRLEN] = { 0 };
  memcpy (host, text, (size_t)(colon - text));
  struct in_addr parsed;
  char *end = NULL;
  gint64 port = g_ascii_strtoll (colon + 1, &end, 10);
  return inet_pton (AF_INET, host, &parsed) == 1 && g_ascii_isdigit (colon[1]) &&
         *end == '\0' && port >= 1 && port <= 65535;
}
