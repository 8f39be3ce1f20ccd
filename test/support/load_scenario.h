#pragma once

#include <glib.h>

#include "support/search_load.h"

/* Reads a load from a key file; docs/stand_ins.md lists the keys. Returns false and sets
 * an error that names the key if a key is unknown, missing or has an invalid value. */
bool jd_load_scenario_read (const char *path, jd_search_load_t *load, GError **error);
