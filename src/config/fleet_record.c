#include "config/fleet_record.h"

#include "config/record_reader.h"

#define MAX_ZONES 64
#define MAX_GROUPS 4096
/* Lease messages carry the view of each member in a fixed array of this size
 * (JD_GROUP_MAX_MEMBERS in membership/lease_defs.h). */
#define MAX_MEMBERS_PER_GROUP 9
#define MAX_SHARES_PER_ZONE 1024
#define DEFAULT_SHARES_PER_ZONE 12
/* The sum of rounded weights, such as three times 1/3, may slightly exceed 1. */
#define WEIGHT_SUM_TOLERANCE 1e-9

static const char *const top_fields[] = { "zones", "shares_per_zone", "cells", NULL };
static const char *const zone_fields[] = { "name", "weight", NULL };
static const char *const group_fields[] = { "name", "zone", "role", "seats", NULL };
static const char *const member_fields[] = { "name", "address", "witness", NULL };
static const char *const roles[] = { "entry", "broker", NULL };

/* Sets of the names and addresses read so far, which must be unique in a fleet. */
typedef struct seen_names
{
  GHashTable *zones;
  GHashTable *groups;
  GHashTable *members;
  GHashTable *addresses;
} seen_names_t;

/* Reads one zone; a missing weight is stored as -1. */
static void
read_zone (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
           jd_zone_record_t *zone)
{
  jd_record_reader_check_fields (reader, object, zone_fields);
  zone->name = jd_record_reader_name (reader, object, "name");
  zone->weight = jd_record_reader_number_or (reader, object, "weight", 0, 1, -1);
  jd_record_reader_check_unique (reader, seen->zones, "name", zone->name);
}

/* Checks the sum of the zone weights. If no zone has a weight, sets the same one for all
 * zones, with the sum 1. */
static void
resolve_weights (jd_record_reader_t *reader, jd_fleet_record_t *record)
{
  double sum = 0;
  uint32_t missing = 0;
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      if (record->zones[i].weight < 0)
        missing++;
      else
        sum += record->zones[i].weight;
    }
  if (missing > 0 && missing < record->zone_count)
    jd_record_reader_set_error (reader, "zones",
                                "must have a weight in all zones or in none");
  if (sum > 1 + WEIGHT_SUM_TOLERANCE)
    jd_record_reader_set_error (reader, "zones",
                                "sum of weights must be at most 1, is %g", sum);
  for (uint32_t i = 0; missing > 0 && i < record->zone_count; i++)
    record->zones[i].weight = 1.0 / record->zone_count;
}

/* Reads all zones and checks their weights. */
static void
read_zones (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
            jd_fleet_record_t *record)
{
  json_t *array = jd_record_reader_array (reader, object, "zones", 1, MAX_ZONES);
  record->zone_count = (uint32_t)json_array_size (array);
  record->zones = g_new0 (jd_zone_record_t, record->zone_count);
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "zones", i);
      read_zone (reader, json_array_get (array, i), seen, &record->zones[i]);
      jd_record_reader_leave (reader, mark);
    }
  resolve_weights (reader, record);
}

/* Reads one member of a group. A voting-only member has the address of another member, so
 * only the addresses of the others must be unique. */
static void
read_member (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
             jd_member_record_t *member)
{
  jd_record_reader_check_fields (reader, object, member_fields);
  member->name = jd_record_reader_name (reader, object, "name");
  member->address = jd_record_reader_address (reader, object, "address");
  jd_record_reader_check_unique (reader, seen->members, "name", member->name);
  member->voting_only = jd_record_reader_flag (reader, object, "witness");
  if (!member->voting_only)
    jd_record_reader_check_unique (reader, seen->addresses, "address", member->address);
}

/* Reads one group with its members. */
static void
read_group (jd_record_reader_t *reader, json_t *object, seen_names_t *seen,
            jd_group_record_t *group)
{
  jd_record_reader_check_fields (reader, object, group_fields);
  group->name = jd_record_reader_name (reader, object, "name");
  group->zone = jd_record_reader_name (reader, object, "zone");
  group->role = (jd_role_t)jd_record_reader_choice (reader, object, "role", roles, -1);
  jd_record_reader_check_unique (reader, seen->groups, "name", group->name);
  if (!g_hash_table_contains (seen->zones, group->zone))
    jd_record_reader_set_error (reader, "zone", "no zone is named \"%s\"", group->zone);
  json_t *members =
      jd_record_reader_array (reader, object, "seats", 1, MAX_MEMBERS_PER_GROUP);
  group->member_count = (uint32_t)json_array_size (members);
  group->members = g_new0 (jd_member_record_t, group->member_count);
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "seats", i);
      read_member (reader, json_array_get (members, i), seen, &group->members[i]);
      jd_record_reader_leave (reader, mark);
    }
}

/* Checks that a group has at most one voting-only member, that a member of another group
 * has its address and so serves it, and that it is not the first member, whose vote
 * breaks ties. */
static void
check_voting_only_members (jd_record_reader_t *reader, const jd_group_record_t *group,
                           const seen_names_t *seen)
{
  uint32_t voting_only_count = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const jd_member_record_t *member = &group->members[i];
      if (!member->voting_only)
        continue;
      voting_only_count++;
      if (i == 0 || voting_only_count > 1)
        jd_record_reader_set_error (
            reader, "seats", "may have one witness, which must not be the first seat");
      if (member->address && !g_hash_table_contains (seen->addresses, member->address))
        jd_record_reader_set_error (
            reader, "seats",
            "witness \"%s\" must have the address of another seat, has %s", member->name,
            member->address);
      for (uint32_t j = 0; j < group->member_count; j++)
        {
          if (j != i && g_strcmp0 (member->address, group->members[j].address) == 0)
            jd_record_reader_set_error (
                reader, "seats",
                "witness \"%s\" must not have the address of a seat of its cell",
                member->name);
        }
    }
}

/* Reads all fields except the head. */
static void
read_fleet (jd_record_reader_t *reader, json_t *object, jd_fleet_record_t *record)
{
  seen_names_t seen = {
    .zones = g_hash_table_new (g_str_hash, g_str_equal),
    .groups = g_hash_table_new (g_str_hash, g_str_equal),
    .members = g_hash_table_new (g_str_hash, g_str_equal),
    .addresses = g_hash_table_new (g_str_hash, g_str_equal),
  };
  record->shares_per_zone = (uint32_t)jd_record_reader_integer_or (
      reader, object, "shares_per_zone", 1, MAX_SHARES_PER_ZONE, DEFAULT_SHARES_PER_ZONE);
  read_zones (reader, object, &seen, record);
  json_t *groups = jd_record_reader_array (reader, object, "cells", 1, MAX_GROUPS);
  record->group_count = (uint32_t)json_array_size (groups);
  record->groups = g_new0 (jd_group_record_t, record->group_count);
  for (uint32_t i = 0; i < record->group_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "cells", i);
      read_group (reader, json_array_get (groups, i), &seen, &record->groups[i]);
      jd_record_reader_leave (reader, mark);
    }
  for (uint32_t i = 0; i < record->group_count; i++)
    {
      jd_reader_mark_t mark = jd_record_reader_enter (reader, "cells", i);
      check_voting_only_members (reader, &record->groups[i], &seen);
      jd_record_reader_leave (reader, mark);
    }
  g_hash_table_unref (seen.zones);
  g_hash_table_unref (seen.groups);
  g_hash_table_unref (seen.members);
  g_hash_table_unref (seen.addresses);
}

/* Parses a fleet record; a deleted one has no zones and no groups. Returns NULL with an
 * error for an invalid one. */
jd_fleet_record_t *
jd_fleet_record_parse (const char *name, const char *text, size_t length, GError **error)
{
  static const char *const no_fields[] = { NULL };
  jd_record_head_t head;
  jd_record_reader_t reader;
  json_t *object = jd_record_parse (name, text, length, &head, error);
  if (!object)
    return NULL;
  jd_fleet_record_t *record = g_atomic_rc_box_new0 (jd_fleet_record_t);
  record->head = head;
  jd_record_reader_init (&reader, name, &head);
  jd_record_reader_check_fields (&reader, object, head.deleted ? no_fields : top_fields);
  if (!head.deleted)
    read_fleet (&reader, object, record);
  json_decref (object);
  if (jd_record_reader_finish (&reader, error))
    return record;
  jd_fleet_record_unref (record);
  return NULL;
}

/* Returns a new reference. */
jd_fleet_record_t *
jd_fleet_record_ref (jd_fleet_record_t *record)
{
  return g_atomic_rc_box_acquire (record);
}

/* Frees the members of a group and its texts. */
static void
clear_group (jd_group_record_t *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      g_free (group->members[i].name);
      g_free (group->members[i].address);
    }
  g_free (group->members);
  g_free (group->name);
  g_free (group->zone);
}

/* Frees the zones and groups of a record. */
static void
clear_record (gpointer data)
{
  jd_fleet_record_t *record = data;
  for (uint32_t i = 0; i < record->zone_count; i++)
    g_free (record->zones[i].name);
  for (uint32_t i = 0; i < record->group_count; i++)
    clear_group (&record->groups[i]);
  g_free (record->zones);
  g_free (record->groups);
}

/* Drops a reference; NULL is allowed. */
void
jd_fleet_record_unref (jd_fleet_record_t *record)
{
  if (record)
    g_atomic_rc_box_release_full (record, clear_record);
}

/* Returns the group that has a member of this name, or NULL. It belongs to the record. */
const jd_group_record_t *
jd_fleet_record_group_of_member (const jd_fleet_record_t *record, const char *member)
{
  for (uint32_t i = 0; i < record->group_count; i++)
    {
      const jd_group_record_t *group = &record->groups[i];
      for (uint32_t j = 0; j < group->member_count; j++)
        {
          if (g_str_equal (group->members[j].name, member))
            return group;
        }
    }
  return NULL;
}

/* Returns the zone of this name, or NULL. It belongs to the record. */
const jd_zone_record_t *
jd_fleet_record_zone (const jd_fleet_record_t *record, const char *zone)
{
  for (uint32_t i = 0; i < record->zone_count; i++)
    {
      if (g_str_equal (record->zones[i].name, zone))
        return &record->zones[i];
    }
  return NULL;
}
