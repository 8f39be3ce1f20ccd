#include <glib.h>

#include "routing/work_defs.h"

/* Frees the contents of the work, but not the struct. */
void
jd_work_clear (jd_work_t *work)
{
  g_free (work->text);
  g_free (work->body);
  g_free (work->items);
  *work = (jd_work_t){ 0 };
}

/* Frees the hits of an outcome, but not the struct. */
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

/* Frees the outcomes of a result, but not the struct. */
void
jd_work_result_clear (jd_work_result_t *result)
{
  for (uint32_t i = 0; i < result->outcome_count; i++)
    jd_work_outcome_clear (&result->outcomes[i]);
  g_free (result->outcomes);
  *result = (jd_work_result_t){ 0 };
}
