#include "daemons/node.h"

#include <string.h>

#include "base/log_event.h"
#include "daemons/node_records.h"

/* Most cells of one role in one zone that a node looks at. */
#define MAX_CELLS 256

/* The vote of this process in a cell of another zone. */
typedef struct witness
{
  jd_name_t cell;
  jd_lease_t *lease;
} witness_t;

struct jd_node
{
  jd_node_options_t options;
  jd_philox_t random;
  uint64_t incarnation;
  jd_peer_link_t *link;
  jd_node_records_t *records;
  jd_fleet_record_t *fleet; /* NULL until one is in force. */
  jd_lease_t *lease;        /* NULL until the own seat is listed. */
  jd_ownership_t *ownership;
  GPtrArray *witnesses; /* witness_t */
  gboolean lease_was_held;
};

/* Returns the time of the node's clock. */
int64_t
jd_node_now_us (const jd_node_t *node)
{
  return jd_clock_now_us (&node->options.clock);
}

/* Returns the link to the other processes. */
jd_peer_link_t *
jd_node_link (jd_node_t *node)
{
  return node->link;
}

/* Returns the number that tells this run of the seat from others. */
uint64_t
jd_node_incarnation (const jd_node_t *node)
{
  return node->incarnation;
}

/* Returns random numbers seeded by the operating system. */
jd_rng_t
jd_node_rng (jd_node_t *node)
{
  return jd_philox_rng (&node->random);
}

/* Returns the fleet in force, or NULL. */
const jd_fleet_record_t *
jd_node_fleet (const jd_node_t *node)
{
  return node->fleet;
}

/* Returns whether the published fleet has the own seat in its cell and the records are
 * known to be the newest. */
gboolean
jd_node_is_listed (const jd_node_t *node)
{
  return node->lease && jd_node_records_is_joined (node->records);
}

/* Returns the address of a seat, or NULL. */
static const char *
address_of (const jd_node_t *node, const char *seat)
{
  const jd_cell_record_t *cell =
      node->fleet ? jd_fleet_record_cell_of_seat (node->fleet, seat) : NULL;
  for (uint32_t i = 0; cell && i < cell->seat_count; i++)
    {
      if (strcmp (cell->seats[i].name, seat) == 0)
        return cell->seats[i].address;
    }
  return NULL;
}

/* Sends to a seat of the fleet. */
gboolean
jd_node_send (jd_node_t *node, const char *seat, const jd_message_t *message)
{
  const char *address = address_of (node, seat);
  return address && jd_peer_link_send (node->link, address, message);
}

/* Send callback of the lease. */
static void
send_heartbeat (void *context, const char *to_seat, const jd_heartbeat_t *heartbeat)
{
  jd_message_t message = { .type = JD_MESSAGE_HEARTBEAT, .heartbeat = *heartbeat };
  jd_node_send (context, to_seat, &message);
}

/* Names of the seats of a cell, for the lease. */
typedef struct seat_names
{
  uint32_t count;
  uint32_t witness_count;
  const char *all[JD_CELL_MAX_SEATS];
  const char *witnesses[JD_CELL_MAX_SEATS];
} seat_names_t;

/* Returns the names of the seats of a cell; valid as long as the record. */
static seat_names_t
names_of (const jd_cell_record_t *cell)
{
  seat_names_t names = { 0 };
  for (uint32_t i = 0; i < cell->seat_count && i < JD_CELL_MAX_SEATS; i++)
    {
      names.all[names.count++] = cell->seats[i].name;
      if (cell->seats[i].witness)
        names.witnesses[names.witness_count++] = cell->seats[i].name;
    }
  return names;
}

/* Creates the lease of a seat that this process serves. */
static jd_lease_t *
new_lease (jd_node_t *node, const char *seat, const seat_names_t *names)
{
  jd_lease_options_t options = {
    .seat = seat,
    .incarnation = node->incarnation,
    .seats = names->all,
    .seat_count = names->count,
    .settings = jd_lease_settings_default (),
    .send = send_heartbeat,
    .context = node,
  };
  return jd_lease_new (&options, jd_node_now_us (node));
}

/* Frees one witness. */
static void
free_witness (gpointer data)
{
  witness_t *witness = data;
  jd_lease_free (witness->lease);
  g_free (witness);
}

/* Returns the witness of a cell, or NULL. */
static witness_t *
find_witness (const jd_node_t *node, const char *cell)
{
  for (guint i = 0; i < node->witnesses->len; i++)
    {
      witness_t *witness = g_ptr_array_index (node->witnesses, i);
      if (strcmp (witness->cell, cell) == 0)
        return witness;
    }
  return NULL;
}

/* Brings the witness of one cell in line with the fleet. A witness announces itself as
 * released, because it never uses a resource of the cell. */
static void
apply_witness (jd_node_t *node, const jd_cell_record_t *cell, const char *seat)
{
  seat_names_t names = names_of (cell);
  witness_t *witness = find_witness (node, cell->name);
  if (witness)
    {
      jd_lease_set_seats (witness->lease, names.all, names.count, jd_node_now_us (node));
      return;
    }
  witness = g_new0 (witness_t, 1);
  g_strlcpy (witness->cell, cell->name, sizeof (witness->cell));
  witness->lease = new_lease (node, seat, &names);
  jd_lease_set_state (witness->lease, JD_SEAT_RELEASED, jd_node_now_us (node));
  g_ptr_array_add (node->witnesses, witness);
  jd_log_event (G_LOG_LEVEL_INFO, "witness", "cell=%s as=%s", cell->name, seat);
}

/* Starts or stops the votes of this process in other cells. */
static void
apply_witnesses (jd_node_t *node)
{
  GPtrArray *listed = g_ptr_array_new ();
  for (uint32_t i = 0; i < node->fleet->cell_count; i++)
    {
      const jd_cell_record_t *cell = &node->fleet->cells[i];
      for (uint32_t j = 0; j < cell->seat_count; j++)
        {
          if (!cell->seats[j].witness ||
              strcmp (cell->seats[j].address, node->options.peer_address) != 0)
            continue;
          apply_witness (node, cell, cell->seats[j].name);
          g_ptr_array_add (listed, find_witness (node, cell->name));
        }
    }
  for (guint i = node->witnesses->len; i > 0; i--)
    {
      if (!g_ptr_array_find (listed, g_ptr_array_index (node->witnesses, i - 1), NULL))
        g_ptr_array_remove_index (node->witnesses, i - 1);
    }
  g_ptr_array_free (listed, TRUE);
}

/* Returns the lease that a seat of the fleet belongs to, or NULL: the own one or that of
 * a witness. */
static jd_lease_t *
lease_for (const jd_node_t *node, const char *seat)
{
  const jd_cell_record_t *cell =
      node->fleet ? jd_fleet_record_cell_of_seat (node->fleet, seat) : NULL;
  if (!cell)
    return NULL;
  witness_t *witness = find_witness (node, cell->name);
  return witness ? witness->lease : node->lease;
}

/* Tells the ownership which cells share the resources of the zone. */
static void
apply_cells (jd_node_t *node)
{
  const char *names[MAX_CELLS];
  uint32_t count = 0;
  for (uint32_t i = 0; i < node->fleet->cell_count && count < MAX_CELLS; i++)
    {
      const jd_cell_record_t *cell = &node->fleet->cells[i];
      if (cell->role == node->options.role &&
          strcmp (cell->zone, node->options.zone) == 0)
        names[count++] = cell->name;
    }
  jd_ownership_set_cells (node->ownership, names, count, jd_node_now_us (node));
}

/* Returns the cell of the own seat when the fleet agrees with the settings. */
static const jd_cell_record_t *
own_cell (const jd_node_t *node)
{
  const jd_cell_record_t *cell =
      jd_fleet_record_cell_of_seat (node->fleet, node->options.seat);
  if (cell && cell->role == node->options.role &&
      strcmp (cell->zone, node->options.zone) == 0)
    return cell;
  jd_log_event (G_LOG_LEVEL_WARNING, "seat_not_listed",
                "fleet_version=%" G_GUINT64_FORMAT,
                (guint64)node->fleet->head.record_version);
  return NULL;
}

/* Brings the lease in line with a new fleet record. */
static void
apply_fleet (jd_node_t *node)
{
  jd_fleet_record_t *fleet = jd_config_store_fleet (node->options.store);
  if (!fleet)
    return;
  if (node->fleet)
    jd_fleet_record_unref (node->fleet);
  node->fleet = fleet;
  apply_witnesses (node);
  jd_node_records_set_fleet (node->records, fleet);
  const jd_cell_record_t *cell = own_cell (node);
  if (!cell)
    return;
  seat_names_t names = names_of (cell);
  if (!node->lease)
    {
      node->lease = new_lease (node, node->options.seat, &names);
      node->ownership = jd_ownership_new (node->lease, cell->name);
    }
  else
    jd_lease_set_seats (node->lease, names.all, names.count, jd_node_now_us (node));
  jd_ownership_set_witnesses (node->ownership, names.witnesses, names.witness_count);
  apply_cells (node);
}

/* Record callback: a fleet concerns the node itself first. */
static void
on_record (void *context, const char *name)
{
  jd_node_t *node = context;
  if (strcmp (name, "fleet") == 0)
    apply_fleet (node);
  node->options.callbacks.on_record (node->options.callbacks.context, name);
}

/* Returns whether a seat of the own cell is dead or has released its work. */
static gboolean
is_gone (void *context, const char *seat)
{
  const jd_node_t *node = context;
  for (uint32_t i = 0; node->lease && i < jd_lease_seat_count (node->lease); i++)
    {
      if (strcmp (jd_lease_seat_name (node->lease, i), seat) == 0)
        return jd_lease_gone_until_us (node->lease, i) > jd_node_now_us (node);
    }
  return FALSE;
}

/* Wake callback of the records; runs in another thread. */
static void
wake_from_records (void *context)
{
  jd_node_wake (context);
}

/* Answers a heartbeat over the connection on which it came. */
static void
answer_heartbeat (jd_node_t *node, const jd_peer_origin_t *origin,
                  const jd_heartbeat_t *heartbeat)
{
  jd_message_t reply = { .type = JD_MESSAGE_HEARTBEAT_ACK };
  jd_lease_t *lease = lease_for (node, heartbeat->seat);
  if (lease && jd_lease_on_heartbeat (lease, heartbeat, jd_node_now_us (node),
                                      &reply.heartbeat_ack))
    jd_peer_link_reply (node->link, origin, &reply);
}

/* Takes an acknowledgement for one of the seats that this process serves. */
static void
take_ack (jd_node_t *node, const jd_heartbeat_ack_t *ack)
{
  jd_lease_t *lease = lease_for (node, ack->to_seat);
  if (lease)
    jd_lease_on_ack (lease, ack, jd_node_now_us (node));
}

/* Serves membership and passes other messages on. */
static void
on_message (void *context, const jd_peer_origin_t *origin, jd_message_t *message)
{
  jd_node_t *node = context;
  switch (message->type)
    {
    case JD_MESSAGE_HEARTBEAT:
      answer_heartbeat (node, origin, &message->heartbeat);
      break;
    case JD_MESSAGE_HEARTBEAT_ACK:
      take_ack (node, &message->heartbeat_ack);
      break;
    default:
      if (!jd_node_records_on_message (node->records, origin, message))
        node->options.callbacks.on_message (node->options.callbacks.context, origin,
                                            message);
      break;
    }
}

/* Starts to read and exchange records. */
static jd_node_records_t *
new_records (jd_node_t *node)
{
  const jd_node_records_options_t options = {
    .own_address = node->options.peer_address,
    .bootstrap_peers = node->options.bootstrap_peers,
    .platform_url = node->options.platform_url,
    .seat = node->options.seat,
    .clock = node->options.clock,
    .rng = jd_philox_rng (&node->random),
    .counters = node->options.counters,
    .store = node->options.store,
    .link = node->link,
    .wake = wake_from_records,
    .on_record = on_record,
    .is_gone = is_gone,
    .context = node,
  };
  return jd_node_records_new (&options);
}

/* Binds the own address and starts to read the platform. */
jd_node_t *
jd_node_new (const jd_node_options_t *options, GError **error)
{
  jd_node_t *node = g_new0 (jd_node_t, 1);
  node->options = *options;
  node->random.seed = jd_entropy ();
  /* Wall-clock microseconds, so that later runs have higher numbers. The last bits are
   * random: two processes of one seat that start together still differ. */
  node->incarnation = ((uint64_t)jd_wall_time_us () << 8) | (jd_entropy () & 0xff);
  node->witnesses = g_ptr_array_new_with_free_func (free_witness);
  jd_peer_link_options_t link = {
    .seat = options->seat,
    .bind_address = options->peer_address,
    .on_message = on_message,
    .context = node,
  };
  node->link = jd_peer_link_new (&link, error);
  if (!node->link)
    {
      g_ptr_array_free (node->witnesses, TRUE);
      g_free (node);
      return NULL;
    }
  node->records = new_records (node);
  return node;
}

/* Stops the platform client and closes all connections. */
void
jd_node_free (jd_node_t *node)
{
  if (!node)
    return;
  jd_node_records_free (node->records);
  jd_ownership_free (node->ownership);
  jd_lease_free (node->lease);
  g_ptr_array_free (node->witnesses, TRUE);
  if (node->fleet)
    jd_fleet_record_unref (node->fleet);
  jd_peer_link_free (node->link);
  g_free (node);
}

/* Logs when the lease is won or lost. */
static void
log_lease (jd_node_t *node, int64_t now_us)
{
  gboolean held = jd_lease_is_held (node->lease, now_us);
  if (held == node->lease_was_held)
    return;
  node->lease_was_held = held;
  jd_log_event (held ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_WARNING,
                held ? "lease_won" : "lease_lost", "incarnation=%" G_GUINT64_FORMAT,
                (guint64)node->incarnation);
}

/* Returns the time that a poll may take before the lease needs a tick. */
static int
limit_timeout_ms (const jd_node_t *node, int timeout_ms)
{
  if (!node->lease)
    return timeout_ms;
  int64_t left_us = jd_lease_next_tick_us (node->lease) - jd_node_now_us (node);
  int64_t left_ms = left_us <= 0 ? 0 : (left_us + JD_US_PER_MS - 1) / JD_US_PER_MS;
  return left_ms < timeout_ms ? (int)left_ms : timeout_ms;
}

/* Runs one turn of the event loop. */
void
jd_node_poll (jd_node_t *node, int timeout_ms)
{
  jd_peer_link_poll (node->link, limit_timeout_ms (node, timeout_ms));
  jd_node_records_tick (node->records);
  if (!node->lease)
    return;
  int64_t now_us = jd_node_now_us (node);
  jd_lease_tick (node->lease, now_us);
  for (guint i = 0; i < node->witnesses->len; i++)
    {
      witness_t *witness = g_ptr_array_index (node->witnesses, i);
      jd_lease_tick (witness->lease, now_us);
    }
  log_lease (node, now_us);
}

/* Makes a poll return early; any thread. */
void
jd_node_wake (jd_node_t *node)
{
  jd_peer_link_wake (node->link);
}

/* Returns until when this seat owns a resource. */
int64_t
jd_node_owned_until_us (jd_node_t *node, const char *resource)
{
  if (!node->ownership)
    return JD_LEASE_NEVER;
  return jd_ownership_valid_until_us (node->ownership, resource, jd_node_now_us (node));
}

/* Returns until when the lease is held. */
int64_t
jd_node_lease_until_us (jd_node_t *node)
{
  if (!node->lease)
    return JD_LEASE_NEVER;
  return jd_lease_valid_until_us (node->lease, jd_node_now_us (node));
}

/* Sets the state that heartbeats announce. */
void
jd_node_set_state (jd_node_t *node, jd_seat_state_t state)
{
  if (node->lease)
    jd_lease_set_state (node->lease, state, jd_node_now_us (node));
}

/* Makes the seat active again under a higher incarnation. */
void
jd_node_reactivate (jd_node_t *node)
{
  if (node->lease)
    jd_lease_reactivate (node->lease, (uint64_t)jd_wall_time_us () << 8,
                         jd_node_now_us (node));
}

/* Returns the age of the last confirmation by the platform. */
int64_t
jd_node_platform_age_us (jd_node_t *node)
{
  return jd_node_records_age_us (node->records);
}

/* Appends what this seat knows of the seats of its cell. */
void
jd_node_status (jd_node_t *node, json_t *array)
{
  int64_t now_us = jd_node_now_us (node);
  for (uint32_t i = 0; node->lease && i < jd_lease_seat_count (node->lease); i++)
    {
      json_t *object = json_object ();
      json_object_set_new (object, "seat",
                           json_string (jd_lease_seat_name (node->lease, i)));
      json_object_set_new (
          object, "dead",
          json_boolean (jd_lease_gone_until_us (node->lease, i) > now_us));
      json_array_append_new (array, object);
    }
}
