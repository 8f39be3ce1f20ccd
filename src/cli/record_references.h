#pragma once

#include "config/config_store.h"

typedef void (*cli_reference_report_t) (void *context, const char *message);

/* Reports organisations and zones that a record names and another one does not list. A
 * kind of reference is checked only when the record that should list it is there. */
void cli_record_references_check (jd_config_store_t *store, cli_reference_report_t report,
                                  void *context);
