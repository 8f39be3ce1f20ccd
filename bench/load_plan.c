#include "load_plan.h"

#include <math.h>
#include <string.h>

#include "config/settings.h"

/* Parses a finite number of at least 0. Returns FALSE if the text is anything else. */
static gboolean
parse_number (const char *text, double *number)
{
  char *end = NULL;
  *number = g_ascii_strtod (text, &end);
  return end != text && *end == '\0' && isfinite (*number) && *number >= 0;
}

static void
organisation_clear (gpointer data)
{
  load_organisation_t *organisation = data;
  g_free (organisation->id);
  g_free (organisation->key);
}

/* Parses "ID:KEY:RATE,..." with rates in requests per second into the plan and adds up
 * the rates. Returns FALSE and sets the error if an item is malformed. */
gboolean
load_plan_read_organisations (load_plan_t *plan, const char *text, GError **error)
{
  plan->organisations = g_array_new (FALSE, TRUE, sizeof (load_organisation_t));
  g_array_set_clear_func (plan->organisations, organisation_clear);
  char **items = g_strsplit (text, ",", -1);
  gboolean is_valid = items[0] != NULL;
  for (uint32_t i = 0; is_valid && items[i]; i++)
    {
      char **parts = g_strsplit (items[i], ":", -1);
      double rate = 0;
      is_valid = g_strv_length (parts) == 3 && parse_number (parts[2], &rate) && rate > 0;
      if (is_valid)
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
  if (!is_valid)
    g_set_error (error, JD_SETTINGS_ERROR, 0,
                 "organisations: must be ID:KEY:RATE,... with rates above 0, is %s",
                 text);
  return is_valid;
}

/* Parses the weights "SEARCH:FETCH:EDIT" into shares that add up to 1. Returns FALSE and
 * sets the error if the weights are malformed or all 0. */
gboolean
load_plan_read_mix (load_plan_t *plan, const char *text, GError **error)
{
  char **parts = g_strsplit (text, ":", -1);
  gboolean is_valid = g_strv_length (parts) == 3;
  double sum = 0;
  for (int i = 0; is_valid && i < 3; i++)
    {
      is_valid = parse_number (parts[i], &plan->mix[i]);
      sum += plan->mix[i];
    }
  g_strfreev (parts);
  if (!is_valid || sum <= 0)
    {
      g_set_error (error, JD_SETTINGS_ERROR, 0,
                   "mix: must be three weights SEARCH:FETCH:EDIT, not all 0, is %s",
                   text);
      return FALSE;
    }
  for (int i = 0; i < 3; i++)
    plan->mix[i] /= sum;
  return TRUE;
}

/* Parses a comma-separated list of base URLs into the plan. Returns FALSE and sets the
 * error if one of them is not an http URL, and FALSE without an error if the list is
 * empty. */
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

/* Frees the members of the plan and zeroes it. */
void
load_plan_clear (load_plan_t *plan)
{
  g_strfreev (plan->entries);
  if (plan->organisations)
    g_array_free (plan->organisations, TRUE);
  *plan = (load_plan_t){ 0 };
}
