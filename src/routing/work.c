#include <glib.h>

#include "routing/work_defs.h"

/* Frees what a batch owns, but not the batch itself. */
void
jd_work_clear (jd_work_t *work)
{
  g_free (work->text);
  g_free (work->body);
  g_free (work->items);
  *work = (jd_work_t){ 0 };
}

/* Frees the hits of an outcome. */
void
jd_work_outcome_clear (jd_work_outcome_t *outcome)
{
  for (uint32_t i = 0; i < outcome->hit_count; i++)
    {
      g_free (outcome->hits[i].id);
      g_free (outcome->hits[i].body);
    }
  g_free (outcome->hits);
  outcome->hits = NULL;
  outcome->hit_count = 0;
}

/* Frees what a result owns, but not the result itself. */
void
jd_work_result_clear (jd_work_result_t *result)
{
  for (uint32_t i = 0; i < result->outcome_count; i++)
    jd_work_outcome_clear (&result->outcomes[i]);
  g_free (result->outcomes);
  *result = (jd_work_result_t){ 0 };
}
