#pragma once

#include <glib.h>
#include <stdbool.h>

/* Returns FALSE if the value is not taken because there is no room for it. */
typedef bool (*jd_table_turn_visit_t) (void *context, void *value);

guint jd_table_turn_visit (GHashTable *table, guint first, jd_table_turn_visit_t visit,
                           void *context);
