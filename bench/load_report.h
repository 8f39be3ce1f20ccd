#pragma once

#include "load_worker.h"

void load_report_print (const load_plan_t *plan, const load_worker_t *workers,
                        gboolean as_json);
gboolean load_report_check_rate (const load_plan_t *plan, const load_worker_t *workers);
