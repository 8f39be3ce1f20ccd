#pragma once

#include "load_defs.h"

/* Reads "ID:KEY:RATE,..." into the plan. */
gboolean load_plan_read_organisations (load_plan_t *plan, const char *text,
                                       GError **error);
/* Reads "SEARCH:FETCH:EDIT", three weights. */
gboolean load_plan_read_mix (load_plan_t *plan, const char *text, GError **error);
/* Reads a list of base URLs with commas. */
gboolean load_plan_read_entries (load_plan_t *plan, const char *text, GError **error);
void load_plan_clear (load_plan_t *plan);
