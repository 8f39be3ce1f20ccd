#include "daemons/node.h"

#include <string.h>

#include "base/log_event.h"
#include "daemons/node_records.h"

/* Groups of one role in one zone; any further ones are ignored. */
#define MAX_ZONE_GROUPS 256

/* This process as a voting-only member of a group in another zone. */
typedef struct voting_member
{
  jd_name_t group;
  jd_lease_t *lease;
} voting_member_t;

struct jd_node
{
  jd_node_options_t options;
  jd_philox_t random;
  uint64_t incarnation;
  jd_peer_link_t *link;
  jd_node_records_t *records;
  jd_fleet_record_t *fleet; /* NULL until a version is adopted. */
  jd_lease_t *lease;        /* NULL until the fleet lists this member. */
  jd_ownership_t *ownership;
  GPtrArray *voting_members; /* voting_member_t */
  gboolean lease_was_held;
};

/* Returns the time of the node's monotonic clock. */
int64_t
jd_node_now_us (const jd_node_t *node)
{
  return jd_clock_now_us (&node->options.clock);
}

/* Returns the link to the other processes; the node owns it. */
jd_peer_link_t *
jd_node_link (jd_node_t *node)
{
  return node->link;
}

/* Returns the number that distinguishes this process from other processes of the same
 * member; later ones have higher numbers. */
uint64_t
jd_node_incarnation (const jd_node_t *node)
{
  return node->incarnation;
}

/* Returns a generator of random numbers seeded by the operating system. Valid as long as
 * node. */
jd_rng_t
jd_node_rng (jd_node_t *node)
{
  return jd_philox_rng (&node->random);
}

/* Returns the current fleet record, or NULL. Valid until the next poll. */
const jd_fleet_record_t *
jd_node_fleet (const jd_node_t *node)
{
  return node->fleet;
}

/* Returns TRUE if the fleet record lists this member with its role and zone and the
 * process has the newest records that its peers and the platform reported. */
gboolean
jd_node_is_listed (const jd_node_t *node)
{
  return node->lease && jd_node_records_is_joined (node->records);
}

/* Returns the listed address of a member, or NULL. */
static const char *
find_address (const jd_node_t *node, const char *member)
{
  const jd_group_record_t *group =
      node->fleet ? jd_fleet_record_group_of_member (node->fleet, member) : NULL;
  for (uint32_t i = 0; group && i < group->member_count; i++)
    {
      if (strcmp (group->members[i].name, member) == 0)
        return group->members[i].address;
    }
  return NULL;
}

/* Sends to a member of the fleet. FALSE means that nothing was sent. */
gboolean
jd_node_send (jd_node_t *node, const char *member, const jd_message_t *message)
{
  const char *address = find_address (node, member);
  return address && jd_peer_link_send (node->link, address, message);
}

/* Send callback of the leases. A heartbeat that cannot be sent is dropped. */
static void
send_heartbeat (void *context, const char *to_member, const jd_heartbeat_t *heartbeat)
{
  jd_message_t message = { .type = JD_MESSAGE_HEARTBEAT, .heartbeat = *heartbeat };
  jd_node_send (context, to_member, &message);
}

/* Member names of a group, for its lease. */
typedef struct member_names
{
  uint32_t count;
  uint32_t voting_only_count;
  const char *all[JD_GROUP_MAX_MEMBERS];
  const char *voting_only_names[JD_GROUP_MAX_MEMBERS];
} member_names_t;

/* Returns the member names of a group; valid as long as the record. */
static member_names_t
group_member_names (const jd_group_record_t *group)
{
  member_names_t names = { 0 };
  for (uint32_t i = 0; i < group->member_count && i < JD_GROUP_MAX_MEMBERS; i++)
    {
      names.all[names.count++] = group->members[i].name;
      if (group->members[i].voting_only)
        names.voting_only_names[names.voting_only_count++] = group->members[i].name;
    }
  return names;
}

/* Creates the lease of this process under a member name of a group. */
static jd_lease_t *
new_lease (jd_node_t *node, const char *member, const member_names_t *names)
{
  jd_lease_options_t options = {
    .member = member,
    .incarnation = node->incarnation,
    .members = names->all,
    .member_count = names->count,
    .settings = jd_lease_settings_default (),
    .send = send_heartbeat,
    .context = node,
  };
  return jd_lease_new (&options, jd_node_now_us (node));
}

/* Frees one voting-only member. */
static void
free_voting_member (gpointer data)
{
  voting_member_t *voting_member = data;
  jd_lease_free (voting_member->lease);
  g_free (voting_member);
}

/* Returns the voting-only member in a group, or NULL. */
static voting_member_t *
find_voting_member (const jd_node_t *node, const char *group)
{
  for (guint i = 0; i < node->voting_members->len; i++)
    {
      voting_member_t *voting_member = g_ptr_array_index (node->voting_members, i);
      if (strcmp (voting_member->group, group) == 0)
        return voting_member;
    }
  return NULL;
}

/* Creates or updates the voting-only member in one group. It announces itself as
 * released, because it never uses a resource of the group. */
static void
apply_voting_member (jd_node_t *node, const jd_group_record_t *group, const char *member)
{
  member_names_t names = group_member_names (group);
  voting_member_t *voting_member = find_voting_member (node, group->name);
  if (voting_member)
    {
      jd_lease_set_members (voting_member->lease, names.all, names.count,
                            jd_node_now_us (node));
      return;
    }
  voting_member = g_new0 (voting_member_t, 1);
  g_strlcpy (voting_member->group, group->name, sizeof (voting_member->group));
  voting_member->lease = new_lease (node, member, &names);
  jd_lease_set_state (voting_member->lease, JD_MEMBER_RELEASED, jd_node_now_us (node));
  g_ptr_array_add (node->voting_members, voting_member);
  jd_log_event (G_LOG_LEVEL_INFO, "witness", "cell=%s as=%s", group->name, member);
}

/* Creates, updates or removes the voting-only members of this process, so that they match
 * the fleet record. */
static void
apply_voting_members (jd_node_t *node)
{
  GPtrArray *listed = g_ptr_array_new ();
  for (uint32_t i = 0; i < node->fleet->group_count; i++)
    {
      const jd_group_record_t *group = &node->fleet->groups[i];
      for (uint32_t j = 0; j < group->member_count; j++)
        {
          if (!group->members[j].voting_only ||
              strcmp (group->members[j].address, node->options.peer_address) != 0)
            continue;
          apply_voting_member (node, group, group->members[j].name);
          g_ptr_array_add (listed, find_voting_member (node, group->name));
        }
    }
  for (guint i = node->voting_members->len; i > 0; i--)
    {
      if (!g_ptr_array_find (listed, g_ptr_array_index (node->voting_members, i - 1),
                             NULL))
        g_ptr_array_remove_index (node->voting_members, i - 1);
    }
  g_ptr_array_free (listed, TRUE);
}

/* Returns the lease of this process in the group of a member of the fleet, or NULL: that
 * of a voting-only member, else the node's own lease. */
static jd_lease_t *
find_lease (const jd_node_t *node, const char *member)
{
  const jd_group_record_t *group =
      node->fleet ? jd_fleet_record_group_of_member (node->fleet, member) : NULL;
  if (!group)
    return NULL;
  voting_member_t *voting_member = find_voting_member (node, group->name);
  return voting_member ? voting_member->lease : node->lease;
}

/* Sets the groups among which ownership distributes the resources of the zone. */
static void
apply_groups (jd_node_t *node)
{
  const char *names[MAX_ZONE_GROUPS];
  uint32_t count = 0;
  for (uint32_t i = 0; i < node->fleet->group_count && count < MAX_ZONE_GROUPS; i++)
    {
      const jd_group_record_t *group = &node->fleet->groups[i];
      if (group->role == node->options.role &&
          strcmp (group->zone, node->options.zone) == 0)
        names[count++] = group->name;
    }
  jd_ownership_set_groups (node->ownership, names, count, jd_node_now_us (node));
}

/* Returns the group that lists this member, or NULL. Logs a warning if the fleet record
 * does not list it with the role and zone of the settings. */
static const jd_group_record_t *
own_group (const jd_node_t *node)
{
  const jd_group_record_t *group =
      jd_fleet_record_group_of_member (node->fleet, node->options.member);
  if (group && group->role == node->options.role &&
      strcmp (group->zone, node->options.zone) == 0)
    return group;
  jd_log_event (G_LOG_LEVEL_WARNING, "seat_not_listed",
                "fleet_version=%" G_GUINT64_FORMAT,
                (guint64)node->fleet->head.record_version);
  return NULL;
}

/* Applies the current fleet record to the peers, the leases and the ownership. */
static void
apply_fleet (jd_node_t *node)
{
  jd_fleet_record_t *fleet = jd_config_store_fleet (node->options.store);
  if (!fleet)
    return;
  if (node->fleet)
    jd_fleet_record_unref (node->fleet);
  node->fleet = fleet;
  apply_voting_members (node);
  jd_node_records_set_fleet (node->records, fleet);
  const jd_group_record_t *group = own_group (node);
  if (!group)
    return;
  member_names_t names = group_member_names (group);
  if (!node->lease)
    {
      node->lease = new_lease (node, node->options.member, &names);
      node->ownership = jd_ownership_new (node->lease, group->name);
    }
  else
    jd_lease_set_members (node->lease, names.all, names.count, jd_node_now_us (node));
  jd_ownership_set_voting_only (node->ownership, names.voting_only_names,
                                names.voting_only_count);
  apply_groups (node);
}

/* Record callback: applies a fleet record to the node before the daemon is notified. */
static void
on_record (void *context, const char *name)
{
  jd_node_t *node = context;
  if (strcmp (name, "fleet") == 0)
    apply_fleet (node);
  node->options.callbacks.on_record (node->options.callbacks.context, name);
}

/* Returns TRUE if a member of the own group is down or has released its resources. */
static gboolean
is_member_down (void *context, const char *member)
{
  const jd_node_t *node = context;
  for (uint32_t i = 0; node->lease && i < jd_lease_member_count (node->lease); i++)
    {
      if (strcmp (jd_lease_member_name (node->lease, i), member) == 0)
        return jd_lease_down_until_us (node->lease, i) > jd_node_now_us (node);
    }
  return FALSE;
}

/* Wake callback of the records; runs in the platform client's thread. */
static void
wake_from_records (void *context)
{
  jd_node_wake (context);
}

/* Replies to a heartbeat over the connection on which it came. */
static void
answer_heartbeat (jd_node_t *node, const jd_peer_origin_t *origin,
                  const jd_heartbeat_t *heartbeat)
{
  jd_message_t reply = { .type = JD_MESSAGE_HEARTBEAT_ACK };
  jd_lease_t *lease = find_lease (node, heartbeat->member);
  if (lease && jd_lease_on_heartbeat (lease, heartbeat, jd_node_now_us (node),
                                      &reply.heartbeat_ack))
    jd_peer_link_reply (node->link, origin, &reply);
}

/* Passes a heartbeat acknowledgement to the lease that it is addressed to. */
static void
apply_ack (jd_node_t *node, const jd_heartbeat_ack_t *ack)
{
  jd_lease_t *lease = find_lease (node, ack->to_member);
  if (lease)
    jd_lease_on_ack (lease, ack, jd_node_now_us (node));
}

/* Handles messages about membership and records, and passes others to the daemon. */
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
      apply_ack (node, &message->heartbeat_ack);
      break;
    default:
      if (!jd_node_records_on_message (node->records, origin, message))
        node->options.callbacks.on_message (node->options.callbacks.context, origin,
                                            message);
      break;
    }
}

/* Starts to read records from the platform and to exchange them with peers. */
static jd_node_records_t *
new_records (jd_node_t *node)
{
  const jd_node_records_options_t options = {
    .own_address = node->options.peer_address,
    .bootstrap_peers = node->options.bootstrap_peers,
    .platform_url = node->options.platform_url,
    .member = node->options.member,
    .clock = node->options.clock,
    .rng = jd_philox_rng (&node->random),
    .counters = node->options.counters,
    .store = node->options.store,
    .link = node->link,
    .wake = wake_from_records,
    .on_record = on_record,
    .is_member_down = is_member_down,
    .context = node,
  };
  return jd_node_records_new (&options);
}

/* Binds the own address and starts to read the platform. Returns NULL and sets error if
 * the address cannot be bound. The strings in options must outlive the node. */
jd_node_t *
jd_node_new (const jd_node_options_t *options, GError **error)
{
  jd_node_t *node = g_new0 (jd_node_t, 1);
  node->options = *options;
  node->random.seed = jd_entropy ();
  /* Wall-clock microseconds, so that later processes have higher numbers. The last 8 bits
   * are random, so that two processes of one member that start together differ. */
  node->incarnation = ((uint64_t)jd_wall_time_us () << 8) | (jd_entropy () & 0xff);
  node->voting_members = g_ptr_array_new_with_free_func (free_voting_member);
  jd_peer_link_options_t link = {
    .member = options->member,
    .bind_address = options->peer_address,
    .on_message = on_message,
    .context = node,
  };
  node->link = jd_peer_link_new (&link, error);
  if (!node->link)
    {
      g_ptr_array_free (node->voting_members, TRUE);
      g_free (node);
      return NULL;
    }
  node->records = new_records (node);
  return node;
}

/* Stops the platform client and closes all connections; NULL is allowed. */
void
jd_node_free (jd_node_t *node)
{
  if (!node)
    return;
  jd_node_records_free (node->records);
  jd_ownership_free (node->ownership);
  jd_lease_free (node->lease);
  g_ptr_array_free (node->voting_members, TRUE);
  if (node->fleet)
    jd_fleet_record_unref (node->fleet);
  jd_peer_link_free (node->link);
  g_free (node);
}

/* Logs the change if the lease was won or lost since the last call. */
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

/* Returns timeout_ms, shortened to the time that remains until the lease's next tick. */
static int
limit_timeout_ms (const jd_node_t *node, int timeout_ms)
{
  if (!node->lease)
    return timeout_ms;
  int64_t remaining_us = jd_lease_next_tick_us (node->lease) - jd_node_now_us (node);
  int64_t remaining_ms =
      remaining_us <= 0 ? 0 : (remaining_us + JD_US_PER_MS - 1) / JD_US_PER_MS;
  return remaining_ms < timeout_ms ? (int)remaining_ms : timeout_ms;
}

/* Waits up to timeout_ms for messages, handles them and runs the timers of the records
 * and the leases. The timers of the leases, also those of voting-only members, run only
 * once the fleet record has listed this member. */
void
jd_node_poll (jd_node_t *node, int timeout_ms)
{
  jd_peer_link_poll (node->link, limit_timeout_ms (node, timeout_ms));
  jd_node_records_tick (node->records);
  if (!node->lease)
    return;
  int64_t now_us = jd_node_now_us (node);
  jd_lease_tick (node->lease, now_us);
  for (guint i = 0; i < node->voting_members->len; i++)
    {
      voting_member_t *voting_member = g_ptr_array_index (node->voting_members, i);
      jd_lease_tick (voting_member->lease, now_us);
    }
  log_lease (node, now_us);
}

/* Makes a poll return early. May be called in any thread. */
void
jd_node_wake (jd_node_t *node)
{
  jd_peer_link_wake (node->link);
}

/* Returns the time until which this member owns a resource; in the past if not owned. */
int64_t
jd_node_owned_until_us (jd_node_t *node, const char *resource)
{
  if (!node->ownership)
    return JD_LEASE_NEVER;
  return jd_ownership_valid_until_us (node->ownership, resource, jd_node_now_us (node));
}

/* Returns the time until which the lease is held; in the past if it is not. */
int64_t
jd_node_lease_until_us (jd_node_t *node)
{
  if (!node->lease)
    return JD_LEASE_NEVER;
  return jd_lease_valid_until_us (node->lease, jd_node_now_us (node));
}

/* Sets the state that the heartbeats of this member announce to its group. */
void
jd_node_set_state (jd_node_t *node, jd_member_state_t state)
{
  if (node->lease)
    jd_lease_set_state (node->lease, state, jd_node_now_us (node));
}

/* Makes this member active again under a higher incarnation. */
void
jd_node_reactivate (jd_node_t *node)
{
  if (node->lease)
    jd_lease_reactivate (node->lease, (uint64_t)jd_wall_time_us () << 8,
                         jd_node_now_us (node));
}

/* Returns the age of the last confirmation of the records by the platform, -1 if there
 * was none. May be called in any thread. */
int64_t
jd_node_platform_age_us (jd_node_t *node)
{
  return jd_node_records_age_us (node->records);
}

/* Appends a JSON object for each member of the own group, with its last known state. */
void
jd_node_status (jd_node_t *node, json_t *array)
{
  int64_t now_us = jd_node_now_us (node);
  for (uint32_t i = 0; node->lease && i < jd_lease_member_count (node->lease); i++)
    {
      json_t *object = json_object ();
      json_object_set_new (object, "seat",
                           json_string (jd_lease_member_name (node->lease, i)));
      json_object_set_new (
          object, "dead",
          json_boolean (jd_lease_down_until_us (node->lease, i) > now_us));
      json_array_append_new (array, object);
    }
}
