#pragma once

#include "routing/work_defs.h"
#include <glib.h>

/* One work message with the outcomes that are ready to be sent. Freed with its last
 * attempt, once its outcomes are sent. */
typedef struct jd_broker_batch
{
  uint64_t entry;
  jd_work_t work;
  uint32_t open_count; /* Attempts that still point here. */
  gboolean listed;     /* Waits for the next flush. */
  GArray *outcomes;    /* jd_work_outcome_t */
} jd_broker_batch_t;

jd_broker_batch_t *jd_broker_batch_new (uint64_t entry, jd_work_t *work);
void jd_broker_batch_free (jd_broker_batch_t *batch);
/* Drops hits that cannot be among the best "limit" ones of the collected outcomes. */
void jd_broker_batch_truncate (jd_broker_batch_t *batch);
