#include "membership/platform_watch.h"

/* Returns the first entry cell of a zone, or NULL. */
static const jd_cell_record_t *
first_entry_cell (const jd_fleet_record_t *fleet, const char *zone)
{
  for (uint32_t i = 0; i < fleet->cell_count; i++)
    {
      const jd_cell_record_t *cell = &fleet->cells[i];
      if (cell->role == JD_ROLE_ENTRY && g_str_equal (cell->zone, zone))
        return cell;
    }
  return NULL;
}

/* Returns TRUE when a seat is one of the first two live seats of the first entry cell of
 * its zone. So the reads of the platform grow with the zones, not with the fleet. Other
 * seats need not know who is alive. */
gboolean
jd_platform_watch_is_watcher (const jd_fleet_record_t *fleet, const char *seat,
                              jd_seat_is_gone_t is_gone, void *context)
{
  const jd_cell_record_t *own = jd_fleet_record_cell_of_seat (fleet, seat);
  if (!own || first_entry_cell (fleet, own->zone) != own)
    return FALSE;
  uint32_t before = 0;
  for (uint32_t i = 0; i < own->seat_count; i++)
    {
      if (g_str_equal (own->seats[i].name, seat))
        return before < JD_PLATFORM_WATCHERS_PER_ZONE;
      before += is_gone (context, own->seats[i].name) ? 0 : 1;
    }
  return FALSE;
}
