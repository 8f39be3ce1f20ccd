#pragma once

#include "load_defs.h"

gboolean load_plan_read_organisations (load_plan_t *plan, const char *text,
                                       GError **error);
gboolean load_plan_read_mix (load_plan_t *plan, const char *text, GError **error);
gboolean load_plan_read_entries (load_plan_t *plan, const char *text, GError **error);
void load_plan_clear (load_plan_t *plan);
