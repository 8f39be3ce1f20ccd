#include "limits/byte_budget.h"

/* Shares of the limit, in percent, that protected holders may take together when a large
 * or a small request starts. Small ones have a part of their own, so that large ones do
 * not keep them out. The rest is for answers and for requests that are being received. */
#define LARGE_ADMISSION_PERCENT 75
#define SMALL_ADMISSION_PERCENT 90
/* The same while bytes are read that callers send behind their running requests. These
 * can wait in the kernel; the rest is for requests that start. */
#define BEHIND_PERCENT 25

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
  if (holder->is_protected)
    budget->protected_bytes += bytes - holder->bytes;
  if (holder->bytes == 0)
    {
      holder->node.data = holder;
      g_queue_push_tail_link (&budget->holders, &holder->node);
    }
  else if (bytes == 0)
    g_queue_unlink (&budget->holders, &holder->node);
  holder->bytes = bytes;
}

/* Sets whether a holder is protected. A NULL budget has no limit. */
void
jd_byte_budget_protect (jd_byte_budget_t *budget, jd_byte_holder_t *holder,
                        bool is_protected)
{
  if (!budget || is_protected == holder->is_protected)
    return;
  holder->is_protected = is_protected;
  budget->protected_bytes += is_protected ? holder->bytes : -holder->bytes;
}

/* Returns TRUE if the holder is to be cut before the other one, which may be NULL. */
static bool
gives_way_before (const jd_byte_holder_t *holder, const jd_byte_holder_t *other)
{
  if (!other || holder->is_protected != other->is_protected)
    return !other || other->is_protected;
  return holder->bytes > other->bytes;
}

/* Returns the holder to cut while the limit is exceeded, otherwise NULL: of those that
 * are not protected, the one that holds the most. Useful answers are small, and one that
 * grows without end is the first to exceed them all. */
jd_byte_holder_t *
jd_byte_budget_excess (const jd_byte_budget_t *budget)
{
  jd_byte_holder_t *first = NULL;
  if (budget->held_bytes <= budget->limit_bytes)
    return NULL;
  for (GList *item = budget->holders.head; item; item = item->next)
    {
      jd_byte_holder_t *holder = item->data;
      if (gives_way_before (holder, first))
        first = holder;
    }
  return first;
}

/* Returns TRUE if some bytes that a caller has sent behind its running request may be
 * read. They count as those of the running request, which must not be cut for them. A
 * NULL budget has no limit. */
bool
jd_byte_budget_reads_behind (const jd_byte_budget_t *budget, uint64_t bytes)
{
  return !budget ||
         budget->protected_bytes + bytes <= budget->limit_bytes / 100 * BEHIND_PERCENT;
}

/* Returns TRUE if a request that holds some bytes, not protected yet, may start. What all
 * running requests hold is limited, whatever their sizes, because one of them would have
 * to be cut otherwise. A request is small if max_requests of its size fit. */
bool
jd_byte_budget_admits (const jd_byte_budget_t *budget, uint64_t bytes,
                       uint32_t max_requests)
{
  bool is_small = bytes <= budget->limit_bytes / MAX (max_requests, 1);
  uint64_t percent = is_small ? SMALL_ADMISSION_PERCENT : LARGE_ADMISSION_PERCENT;
  return budget->protected_bytes == 0 ||
         budget->protected_bytes + bytes <= budget->limit_bytes / 100 * percent;
}
