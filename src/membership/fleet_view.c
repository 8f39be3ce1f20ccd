#include "membership/fleet_view.h"

/* Ends a list of texts and returns it. */
static char **
end_list (GPtrArray *list)
{
  g_ptr_array_add (list, NULL);
  return (char **)g_ptr_array_free (list, FALSE);
}

/* Returns the names of the seats of a cell. */
static char **
seat_names (const jd_cell_record_t *cell)
{
  GPtrArray *names = g_ptr_array_new ();
  for (uint32_t i = 0; i < cell->seat_count; i++)
    g_ptr_array_add (names, g_strdup (cell->seats[i].name));
  return end_list (names);
}

/* Returns the names of the cells that have the role and the zone of a cell. */
static char **
sibling_cells (const jd_fleet_record_t *fleet, const jd_cell_record_t *own)
{
  GPtrArray *names = g_ptr_array_new ();
  for (uint32_t i = 0; i < fleet->cell_count; i++)
    {
      const jd_cell_record_t *cell = &fleet->cells[i];
      if (cell->role == own->role && g_str_equal (cell->zone, own->zone))
        g_ptr_array_add (names, g_strdup (cell->name));
    }
  return end_list (names);
}

/* Returns the addresses of all seats, or of the brokers only. */
static char **
seat_addresses (const jd_fleet_record_t *fleet, gboolean brokers_only)
{
  GPtrArray *addresses = g_ptr_array_new ();
  for (uint32_t i = 0; i < fleet->cell_count; i++)
    {
      const jd_cell_record_t *cell = &fleet->cells[i];
      if (brokers_only && cell->role != JD_ROLE_BROKER)
        continue;
      for (uint32_t j = 0; j < cell->seat_count; j++)
        g_ptr_array_add (addresses, g_strdup (cell->seats[j].address));
    }
  return end_list (addresses);
}

/* Returns the listed address of a seat, or NULL. */
const char *
jd_fleet_view_address (const jd_fleet_record_t *fleet, const char *seat)
{
  const jd_cell_record_t *cell = jd_fleet_record_cell_of_seat (fleet, seat);
  for (uint32_t i = 0; cell && i < cell->seat_count; i++)
    {
      if (g_str_equal (cell->seats[i].name, seat))
        return cell->seats[i].address;
    }
  return NULL;
}

/* Returns the view of a seat, NULL when the fleet does not list it. */
jd_fleet_view_t *
jd_fleet_view_new (const jd_fleet_record_t *fleet, const char *seat)
{
  const jd_cell_record_t *cell = jd_fleet_record_cell_of_seat (fleet, seat);
  if (!cell)
    return NULL;
  jd_fleet_view_t *view = g_new0 (jd_fleet_view_t, 1);
  view->zone = g_strdup (cell->zone);
  view->cell = g_strdup (cell->name);
  view->address = g_strdup (jd_fleet_view_address (fleet, seat));
  view->seats = seat_names (cell);
  view->cells = sibling_cells (fleet, cell);
  view->peers = seat_addresses (fleet, FALSE);
  view->brokers = seat_addresses (fleet, TRUE);
  return view;
}

/* Frees a view; NULL is allowed. */
void
jd_fleet_view_free (jd_fleet_view_t *view)
{
  if (!view)
    return;
  g_free (view->zone);
  g_free (view->cell);
  g_free (view->address);
  g_strfreev (view->seats);
  g_strfreev (view->cells);
  g_strfreev (view->peers);
  g_strfreev (view->brokers);
  g_free (view);
}
