#include "limits/byte_budget.h"

/* Initializes a budget without holders. */
void
jd_byte_budget_init (jd_byte_budget_t *budget, uint64_t limit_bytes)
{
  *budget = (jd_byte_budget_t){ .limit_bytes = limit_bytes };
  g_queue_init (&budget->holders);
}

/* Sets the bytes that a holder holds. 0 removes it from the budget; an owner does that
 * before it frees the holder. A NULL budget has no limit. */
void
jd_byte_budget_set (jd_byte_budget_t *budget, jd_byte_holder_t *holder, uint64_t bytes)
{
  if (!budget || bytes == holder->bytes)
    return;
  budget->held_bytes += bytes - holder->bytes;
  if (holder->bytes == 0)
    {
      holder->node.data = holder;
      g_queue_push_tail_link (&budget->holders, &holder->node);
    }
  else if (bytes == 0)
    g_queue_unlink (&budget->holders, &holder->node);
  holder->bytes = bytes;
}

/* Returns the holder to cut while the limit is exceeded, otherwise NULL: the one that
 * holds the most. Useful answers are small, and one that grows without end is the first
 * to exceed them all. */
jd_byte_holder_t *
jd_byte_budget_excess (const jd_byte_budget_t *budget)
{
  jd_byte_holder_t *largest = NULL;
  if (budget->held_bytes <= budget->limit_bytes)
    return NULL;
  for (GList *item = budget->holders.head; item; item = item->next)
    {
      jd_byte_holder_t *holder = item->data;
      if (!largest || holder->bytes > largest->bytes)
        largest = holder;
    }
  return largest;
}
