#pragma once

#include <glib.h>

#include "support/search_load.h"

/* Reads a load from a key file; docs/stand_ins.md lists the keys. Returns FALSE with an
 * error that names a key that is unknown, bad or missing. */
gboolean report_scenario_load (const char *path, jd_search_load_t *load, GError **error);
