#pragma once

#include "routing/work_defs.h"
#include <glib.h>

/* One work message and the outcomes of its attempts that wait to be sent. The core frees
 * it when no attempt refers to it and all of its outcomes have been sent. */
typedef struct jd_broker_batch
{
  uint64_t entry;
  jd_work_t work;
  uint32_t open_count;    /* Attempts that refer to this batch. */
  gboolean flush_pending; /* Has outcomes for the next flush. */
  GArray *outcomes;       /* jd_work_outcome_t */
} jd_broker_batch_t;

jd_broker_batch_t *jd_broker_batch_new (uint64_t entry, jd_work_t *work);
void jd_broker_batch_free (jd_broker_batch_t *batch);
/* Drops hits that cannot be among the best work.limit hits of the collected outcomes. */
void jd_broker_batch_truncate (jd_broker_batch_t *batch);
