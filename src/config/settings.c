#include "config/settings.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Settings of every program: --help, --version, --check-settings. */
#define COMMON_FLAG_COUNT 3

/* Returns the error domain of settings. */
GQuark
jd_settings_error_quark (void)
{
  return g_quark_from_static_string ("jd-settings-error");
}

/* The argtable entries of a program: the common flags, one entry per setting, the end. */
typedef struct flag_table
{
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_lit *check;
  struct arg_end *end;
  void **entries;
  uint32_t entry_count;
} flag_table_t;

/* Returns the environment variable of a setting; free with g_free. */
static char *
environment_name (const char *name)
{
  char *variable = g_strdup_printf ("JACKDAW_%s", name);
  for (char *c = variable; *c; c++)
    *c = *c == '-' ? '_' : g_ascii_toupper (*c);
  return variable;
}

/* Returns the help text of a setting with its range and default, interned because
 * argtable keeps the pointer. */
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

/* Builds the argtable entries. */
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

/* Parses an integer setting and checks its range. */
static gboolean
set_integer (jd_setting_t *setting, const char *text, const char *origin, GError **error)
{
  char *end = NULL;
  gint64 value = g_ascii_strtoll (text, &end, 10);
  if (end == text || *end || value < setting->min || value > setting->max)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "%s: \"%s\" is not a whole number from %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   origin, text, setting->min, setting->max);
      return FALSE;
    }
  setting->integer = value;
  return TRUE;
}

/* Stores a value; origin names the flag or variable in errors. */
static gboolean
set_value (jd_setting_t *setting, const char *text, const char *origin, GError **error)
{
  if (setting->type == JD_SETTING_FLAG)
    {
      gboolean on = strcmp (text, "1") == 0 || strcmp (text, "true") == 0;
      if (!on && strcmp (text, "0") != 0 && strcmp (text, "false") != 0)
        {
          g_set_error (error, JD_SETTINGS_ERROR, 0,
                       "%s: \"%s\" is not one of 1, true, 0, false", origin, text);
          return FALSE;
        }
      setting->integer = on;
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

/* Returns the value given on the command line, or NULL. */
static const char *
flag_value (const jd_setting_t *setting, const void *entry)
{
  if (setting->type == JD_SETTING_FLAG)
    return ((const struct arg_lit *)entry)->count ? "1" : NULL;
  const struct arg_str *text = entry;
  return text->count ? text->sval[0] : NULL;
}

/* Takes one setting from its flag, else its variable, else its default. */
static gboolean
load_one (jd_setting_t *setting, const void *entry, GError **error)
{
  char *variable = environment_name (setting->name);
  char *flag = g_strdup_printf ("--%s", setting->name);
  const char *from_flag = flag_value (setting, entry);
  const char *from_environment = getenv (variable);
  gboolean ok = TRUE;
  setting->given = from_flag || from_environment;
  if (from_flag)
    ok = set_value (setting, from_flag, flag, error);
  else if (from_environment)
    ok = set_value (setting, from_environment, variable, error);
  else if (setting->default_value)
    ok = set_value (setting, setting->default_value, flag, error);
  else if (setting->required)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0, "%s: is required (or set %s)", flag,
                   variable);
      ok = FALSE;
    }
  g_free (variable);
  g_free (flag);
  return ok;
}

/* Takes all settings and runs the program's own check. */
static gboolean
load_all (jd_settings_program_t *program, const flag_table_t *table, GError **error)
{
  for (uint32_t i = 0; i < program->setting_count; i++)
    {
      if (!load_one (&program->settings[i], table->entries[COMMON_FLAG_COUNT + i], error))
        return FALSE;
    }
  return !program->check || program->check (program->context, error);
}

/* Prints usage and one line per flag. */
static void
print_help (const jd_settings_program_t *program, const flag_table_t *table)
{
  printf ("%s: %s\n\nUsage: %s", program->name, program->summary, program->name);
  arg_print_syntax (stdout, table->entries, "\n\n");
  arg_print_glossary (stdout, table->entries, "  %-32s %s\n");
  printf ("\nEach setting may also come from the environment: JACKDAW_ and its name in\n"
          "upper case with underscores. The flag goes first.\n");
}

/* Serves the common flags, or loads the settings. */
static jd_settings_outcome_t
serve_or_load (jd_settings_program_t *program, const flag_table_t *table, int errors)
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
  if (errors > 0)
    {
      arg_print_errors (stderr, table->end, program->name);
      return JD_SETTINGS_EXIT_ERROR;
    }
  GError *error = NULL;
  if (!load_all (program, table, &error))
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

/* Reads flags and environment into the settings of a program. */
jd_settings_outcome_t
jd_settings_load (jd_settings_program_t *program, int argc, char **argv)
{
  flag_table_t table = flag_table_new (program);
  jd_settings_outcome_t outcome = JD_SETTINGS_EXIT_ERROR;
  if (arg_nullcheck (table.entries) == 0)
    {
      int errors = arg_parse (argc, argv, table.entries);
      outcome = serve_or_load (program, &table, errors);
    }
  arg_freetable (table.entries, table.entry_count);
  g_free (table.entries);
  return outcome;
}

/* Returns whether a text is "IPv4:port". */
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
