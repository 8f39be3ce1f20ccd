#include "load_plan.h"

#include <math.h>
#include <string.h>

#include "config/settings.h"

/* Reads a number of at least 0. */
static gboolean
read_number (const char *text, double *number)
{
  char *end = NULL;
  *number = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*number) && *number >= 0;
}

/* Frees the content of an organisation. */
static void
organisation_clear (gpointer data)
{
  load_organisation_t *organisation = data;
  g_free (organisation->id);
  g_free (organisation->key);
}

/* Reads the organisations. */
gboolean
load_plan_read_organisations (load_plan_t *plan, const char *text, GError **error)
{
  plan->organisations = g_array_new (FALSE, TRUE, sizeof (load_organisation_t));
  g_array_set_clear_func (plan->organisations, organisation_clear);
  char **items = g_strsplit (text, ",", -1);
  gboolean good = items[0] != NULL;
  for (uint32_t i = 0; good && items[i]; i++)
    {
      char **parts = g_strsplit (items[i], ":", -1);
      double rate = 0;
      good = g_strv_length (parts) == 3 && read_number (parts[2], &rate) && rate > 0;
      if (good)
        {
          load_organisation_t organisation = { .id = g_strdup (parts[0]),
                                               .key = g_strdup (parts[1]),
                                               .rate_per_s = rate };
          g_array_append_val (plan->organisations, organisation);
          plan->rate_per_s += rate;
        }
      g_strfreev (parts);
    }
  g_strfreev (items);
  if (!good)
    g_set_error (error, JD_SETTINGS_ERROR, 0,
                 "organisations: must be ID:KEY:RATE,... with rates above 0, is %s",
                 text);
  return good;
}

/* Reads the mix. */
gboolean
load_plan_read_mix (load_plan_t *plan, const char *text, GError **error)
{
  char **parts = g_strsplit (text, ":", -1);
  gboolean good = g_strv_length (parts) == 3;
  double sum = 0;
  for (int i = 0; good && i < 3; i++)
    {
      good = read_number (parts[i], &plan->mix[i]);
      sum += plan->mix[i];
    }
  g_strfreev (parts);
  if (!good || sum <= 0)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "mix: must be three weights SEARCH:FETCH:EDIT, is %s", text);
      return FALSE;
    }
  for (int i = 0; i < 3; i++)
    plan->mix[i] /= sum;
  return TRUE;
}

/* Reads the base URLs. */
gboolean
load_plan_read_entries (load_plan_t *plan, const char *text, GError **error)
{
  plan->entries = g_strsplit (text, ",", -1);
  plan->entry_count = g_strv_length (plan->entries);
  for (uint32_t i = 0; i < plan->entry_count; i++)
    {
      if (!g_str_has_prefix (plan->entries[i], "http://"))
        {
          g_set_error (error, JD_SETTINGS_ERROR, 0, "entries: not an http URL: %s",
                       plan->entries[i]);
          return FALSE;
        }
    }
  return plan->entry_count > 0;
}

/* Frees the content of a plan. */
void
load_plan_clear (load_plan_t *plan)
{
  g_strfreev (plan->entries);
  if (plan->organisations)
    g_array_free (plan->organisations, TRUE);
  *plan = (load_plan_t){ 0 };
}
