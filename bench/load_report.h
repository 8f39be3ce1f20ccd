#pragma once

#include "load_worker.h"

/* Prints one row per organisation and one for all of them, as a table or as JSON lines;
 * durations are in milliseconds. */
void load_report_print (const load_plan_t *plan, const load_worker_t *workers,
                        gboolean as_json);
/* Warns on standard error when the offered rate was not kept; returns FALSE then. */
gboolean load_report_check_rate (const load_plan_t *plan, const load_worker_t *workers);
