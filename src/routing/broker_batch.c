#include "routing/broker_batch.h"

/* Position of the merge in one outcome: the number of its hits kept so far. */
typedef struct merge_cursor
{
  jd_work_outcome_t *outcome;
  uint32_t kept;
} merge_cursor_t;

/* Creates a batch. Moves the contents of work into it and leaves work empty. */
jd_broker_batch_t *
jd_broker_batch_new (uint64_t entry, jd_work_t *work)
{
  jd_broker_batch_t *batch = g_new0 (jd_broker_batch_t, 1);
  batch->entry = entry;
  batch->work = *work;
  batch->outcomes = g_array_new (FALSE, TRUE, sizeof (jd_work_outcome_t));
  *work = (jd_work_t){ 0 };
  return batch;
}

/* Frees the batch, its work and its unsent outcomes. */
void
jd_broker_batch_free (jd_broker_batch_t *batch)
{
  for (uint32_t i = 0; i < batch->outcomes->len; i++)
    jd_work_outcome_clear (&g_array_index (batch->outcomes, jd_work_outcome_t, i));
  g_array_free (batch->outcomes, TRUE);
  jd_work_clear (&batch->work);
  g_free (batch);
}

/* Returns TRUE if all outcomes that have hits are of the requested snapshot and no shard
 * occurs twice, so that the entry accepts all of them or none. If it accepted only some,
 * a hit of a rejected outcome could displace a hit of an accepted one. */
static gboolean
can_merge (const jd_broker_batch_t *batch)
{
  for (uint32_t i = 0; i < batch->outcomes->len; i++)
    {
      const jd_work_outcome_t *outcome =
          &g_array_index (batch->outcomes, jd_work_outcome_t, i);
      if (outcome->hit_count == 0)
        continue;
      if (outcome->snapshot != batch->work.snapshot)
        return FALSE;
      for (uint32_t j = 0; j < i; j++)
        {
          if (!g_strcmp0 (outcome->shard,
                          g_array_index (batch->outcomes, jd_work_outcome_t, j).shard))
            return FALSE;
        }
    }
  return TRUE;
}

/* Returns the cursor whose next hit has the highest score, or NULL if none is left. */
static merge_cursor_t *
best_cursor (merge_cursor_t *cursors, uint32_t count)
{
  merge_cursor_t *best = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      merge_cursor_t *cursor = &cursors[i];
      if (cursor->kept == cursor->outcome->hit_count)
        continue;
      if (!best || cursor->outcome->hits[cursor->kept].score >
                       best->outcome->hits[best->kept].score)
        best = cursor;
    }
  return best;
}

/* Keeps the first kept hits of an outcome and frees the others. */
static void
truncate_hits (jd_work_outcome_t *outcome, uint32_t kept)
{
  for (uint32_t i = kept; i < outcome->hit_count; i++)
    {
      g_free (outcome->hits[i].id);
      g_free (outcome->hits[i].body);
    }
  outcome->hit_count = kept;
}

/* Keeps the best hits over all collected outcomes, up to the limit of the query. Leaves
 * the outcomes as they are if the entry could accept some and reject others. */
void
jd_broker_batch_truncate (jd_broker_batch_t *batch)
{
  uint32_t count = batch->outcomes->len;
  if (batch->work.kind != JD_WORK_SEARCH || count < 2 || !can_merge (batch))
    return;
  merge_cursor_t *cursors = g_new0 (merge_cursor_t, count);
  for (uint32_t i = 0; i < count; i++)
    cursors[i].outcome = &g_array_index (batch->outcomes, jd_work_outcome_t, i);
  for (uint32_t kept = 0; kept < batch->work.limit; kept++)
    {
      merge_cursor_t *best = best_cursor (cursors, count);
      if (!best)
        break;
      best->kept++;
    }
  for (uint32_t i = 0; i < count; i++)
    truncate_hits (cursors[i].outcome, cursors[i].kept);
  g_free (cursors);
}
