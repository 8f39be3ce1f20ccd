#pragma once

#include "config/config_store.h"

/* Called for each unresolved reference. The message is freed after the call. */
typedef void (*cli_reference_report_t) (void *context, const char *message);

/* Reports each organisation that a record names but the organisations record does not
 * list, and each zone that a record names but the fleet record does not list. Without the
 * record that lists them, organisations or zones are not checked. */
void cli_record_references_check (jd_config_store_t *store, cli_reference_report_t report,
                                  void *context);
