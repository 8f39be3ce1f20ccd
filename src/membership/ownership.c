#include "membership/ownership.h"

#include <string.h>

#include "base/hash.h"

/* An earlier list of cells. A resource that a change moves to this cell is left alone
 * until the old cell has the new list, too. */
typedef struct old_cells
{
  char **cells;
  int64_t until_us;
} old_cells_t;

struct jd_ownership
{
  jd_lease_t *lease;
  char *cell;
  char **cells;
  char **witnesses;
  GQueue old; /* of old_cells_t, oldest first */
};

/* Frees an earlier list. */
static void
free_old_cells (gpointer data)
{
  old_cells_t *old = data;
  g_strfreev (old->cells);
  g_free (old);
}

/* Returns an ownership over all resources, as if the zone had only this cell. */
jd_ownership_t *
jd_ownership_new (jd_lease_t *lease, const char *cell)
{
  jd_ownership_t *ownership = g_new0 (jd_ownership_t, 1);
  ownership->lease = lease;
  ownership->cell = g_strdup (cell);
  g_queue_init (&ownership->old);
  return ownership;
}

/* Frees an ownership; NULL is allowed. */
void
jd_ownership_free (jd_ownership_t *ownership)
{
  if (!ownership)
    return;
  g_queue_clear_full (&ownership->old, free_old_cells);
  g_strfreev (ownership->cells);
  g_strfreev (ownership->witnesses);
  g_free (ownership->cell);
  g_free (ownership);
}

/* Copies a list of names. */
static char **
copy_names (const char *const *names, uint32_t count)
{
  char **copy = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = g_strdup (names[i]);
  return copy;
}

/* Returns TRUE when a list has the given names in the same order. */
static gboolean
is_same_list (char **list, const char *const *names, uint32_t count)
{
  if (!list || g_strv_length (list) != count)
    return FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (list[i], names[i]) != 0)
        return FALSE;
    }
  return TRUE;
}

/* Takes the cells of a fleet record. Resources that come to this cell by a change are
 * used after a wait; those that leave it stop at once. */
void
jd_ownership_set_cells (jd_ownership_t *ownership, const char *const *cells,
                        uint32_t count, int64_t now_us)
{
  if (is_same_list (ownership->cells, cells, count))
    return;
  if (ownership->cells)
    {
      old_cells_t *old = g_new0 (old_cells_t, 1);
      old->cells = ownership->cells;
      old->until_us = now_us + JD_FLEET_CHANGE_WAIT_US;
      g_queue_push_tail (&ownership->old, old);
    }
  ownership->cells = copy_names (cells, count);
}

/* Takes the seats that are never candidates. */
void
jd_ownership_set_witnesses (jd_ownership_t *ownership, const char *const *seats,
                            uint32_t count)
{
  g_strfreev (ownership->witnesses);
  ownership->witnesses = copy_names (seats, count);
}

/* Returns TRUE for a seat that never owns anything. */
static gboolean
is_witness (const jd_ownership_t *ownership, const char *seat)
{
  return ownership->witnesses &&
         g_strv_contains ((const char *const *)ownership->witnesses, seat);
}

/* Returns TRUE when the first name wins over the second for a resource (rendezvous
 * hashing). */
static gboolean
is_preferred (const char *first, const char *second, const char *resource)
{
  uint64_t first_hash = jd_hash_pair (resource, first);
  uint64_t second_hash = jd_hash_pair (resource, second);
  if (first_hash != second_hash)
    return first_hash > second_hash;
  return strcmp (first, second) > 0;
}

/* Returns the name with the highest hash for a resource, NULL for no names. */
const char *
jd_ownership_choose (const char *const *names, uint32_t count, const char *resource)
{
  const char *best = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!best || is_preferred (names[i], best, resource))
        best = names[i];
    }
  return best;
}

/* Returns TRUE when a list gives a resource to this cell. */
static gboolean
is_in_cell (const jd_ownership_t *ownership, char **cells, const char *resource)
{
  const char *chosen =
      jd_ownership_choose ((const char *const *)cells, g_strv_length (cells), resource);
  return chosen && strcmp (chosen, ownership->cell) == 0;
}

/* Returns TRUE when the resource is in this cell by the list in force and by all lists
 * that other processes may still have. */
static gboolean
is_settled_in_cell (jd_ownership_t *ownership, const char *resource, int64_t now_us)
{
  old_cells_t *oldest = g_queue_peek_head (&ownership->old);
  while (oldest && now_us >= oldest->until_us)
    {
      free_old_cells (g_queue_pop_head (&ownership->old));
      oldest = g_queue_peek_head (&ownership->old);
    }
  if (ownership->cells && !is_in_cell (ownership, ownership->cells, resource))
    return FALSE;
  for (GList *item = ownership->old.head; item; item = item->next)
    {
      const old_cells_t *old = item->data;
      if (!is_in_cell (ownership, old->cells, resource))
        return FALSE;
    }
  return TRUE;
}

/* Returns the time before which this process may begin a write for work that it has
 * accepted on a resource, JD_LEASE_NEVER when it may not now. Every seat with a higher
 * hash must be dead for takeover; draining seats are not, because they still work. */
int64_t
jd_ownership_valid_until_us (jd_ownership_t *ownership, const char *resource,
                             int64_t now_us)
{
  const jd_lease_t *lease = ownership->lease;
  const char *own = jd_lease_own_seat (lease);
  int64_t until_us = jd_lease_valid_until_us (lease, now_us);
  if (now_us >= until_us || !is_settled_in_cell (ownership, resource, now_us))
    return JD_LEASE_NEVER;
  for (uint32_t i = 0; i < jd_lease_seat_count (lease); i++)
    {
      const char *seat = jd_lease_seat_name (lease, i);
      if (strcmp (seat, own) != 0 && !is_witness (ownership, seat) &&
          is_preferred (seat, own, resource))
        until_us = MIN (until_us, jd_lease_gone_until_us (lease, i));
    }
  return now_us < until_us ? until_us : JD_LEASE_NEVER;
}

/* Returns TRUE when this process may accept new work on a resource. */
gboolean
jd_ownership_owns (jd_ownership_t *ownership, const char *resource, int64_t now_us)
{
  return jd_lease_state (ownership->lease) == JD_SEAT_ACTIVE &&
         now_us < jd_ownership_valid_until_us (ownership, resource, now_us);
}
