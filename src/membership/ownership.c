#include "membership/ownership.h"

#include <string.h>

#include "base/hash.h"

/* An earlier list of groups. A resource that a change moves to this group is not used
 * until the previous group of the resource has the new list, too. */
typedef struct old_groups
{
  char **groups;
  int64_t until_us;
} old_groups_t;

struct jd_ownership
{
  jd_lease_t *lease;
  char *own_group;
  char **groups;
  char **voting_only_members;
  GQueue old_lists; /* of old_groups_t, oldest first */
};

/* Frees an earlier list of groups; a GDestroyNotify. */
static void
free_old_groups (gpointer data)
{
  old_groups_t *old = data;
  g_strfreev (old->groups);
  g_free (old);
}

/* Creates the ownership of a group, which has all resources until jd_ownership_set_groups
 * is called, as if it were the only group of its zone. Free with jd_ownership_free. */
jd_ownership_t *
jd_ownership_new (jd_lease_t *lease, const char *own_group)
{
  jd_ownership_t *ownership = g_new0 (jd_ownership_t, 1);
  ownership->lease = lease;
  ownership->own_group = g_strdup (own_group);
  g_queue_init (&ownership->old_lists);
  return ownership;
}

/* Frees an ownership; NULL is allowed. */
void
jd_ownership_free (jd_ownership_t *ownership)
{
  if (!ownership)
    return;
  g_queue_clear_full (&ownership->old_lists, free_old_groups);
  g_strfreev (ownership->groups);
  g_strfreev (ownership->voting_only_members);
  g_free (ownership->own_group);
  g_free (ownership);
}

/* Returns a NULL-terminated copy of a list of names; free with g_strfreev. */
static char **
copy_names (const char *const *names, uint32_t count)
{
  char **copy = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = g_strdup (names[i]);
  return copy;
}

/* Returns TRUE if a list has the given names in the same order. */
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

/* Applies the groups of a fleet record. Resources that a change moves to this group are
 * used after JD_FLEET_CHANGE_WAIT_US; resources that it moves away are no longer used. */
void
jd_ownership_set_groups (jd_ownership_t *ownership, const char *const *groups,
                         uint32_t count, int64_t now_us)
{
  if (is_same_list (ownership->groups, groups, count))
    return;
  if (ownership->groups)
    {
      old_groups_t *old = g_new0 (old_groups_t, 1);
      old->groups = ownership->groups;
      old->until_us = now_us + JD_FLEET_CHANGE_WAIT_US;
      g_queue_push_tail (&ownership->old_lists, old);
    }
  ownership->groups = copy_names (groups, count);
}

/* Replaces the list of members that are never candidates for a resource. */
void
jd_ownership_set_voting_only (jd_ownership_t *ownership, const char *const *members,
                              uint32_t count)
{
  g_strfreev (ownership->voting_only_members);
  ownership->voting_only_members = copy_names (members, count);
}

/* Returns TRUE if a member is voting-only, so that it owns no resources. */
static gboolean
is_voting_only (const jd_ownership_t *ownership, const char *member)
{
  return ownership->voting_only_members &&
         g_strv_contains ((const char *const *)ownership->voting_only_members, member);
}

/* Returns TRUE if the first name has priority over the second for a resource (rendezvous
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

/* Returns the name with the highest hash for a resource, or NULL if count is 0. The
 * result is one of the given pointers. */
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

/* Returns TRUE if a list of groups assigns a resource to this group. */
static gboolean
is_in_own_group (const jd_ownership_t *ownership, char **groups, const char *resource)
{
  const char *chosen_group =
      jd_ownership_choose ((const char *const *)groups, g_strv_length (groups), resource);
  return chosen_group && strcmp (chosen_group, ownership->own_group) == 0;
}

/* Returns TRUE if the current list of groups and all lists that other processes may
 * still have assign a resource to this group. Drops expired lists. */
static gboolean
is_assigned_to_own_group (jd_ownership_t *ownership, const char *resource, int64_t now_us)
{
  old_groups_t *oldest = g_queue_peek_head (&ownership->old_lists);
  while (oldest && now_us >= oldest->until_us)
    {
      free_old_groups (g_queue_pop_head (&ownership->old_lists));
      oldest = g_queue_peek_head (&ownership->old_lists);
    }
  if (ownership->groups && !is_in_own_group (ownership, ownership->groups, resource))
    return FALSE;
  for (GList *item = ownership->old_lists.head; item; item = item->next)
    {
      const old_groups_t *old = item->data;
      if (!is_in_own_group (ownership, old->groups, resource))
        return FALSE;
    }
  return TRUE;
}

/* Returns the time before which this process may begin a write for work that it has
 * accepted on a resource, or JD_LEASE_NEVER if it may not begin now. Every member with a
 * higher hash must be down; draining members are not, because they still work. */
int64_t
jd_ownership_valid_until_us (jd_ownership_t *ownership, const char *resource,
                             int64_t now_us)
{
  const jd_lease_t *lease = ownership->lease;
  const char *own_member = jd_lease_own_member (lease);
  int64_t until_us = jd_lease_valid_until_us (lease, now_us);
  if (now_us >= until_us || !is_assigned_to_own_group (ownership, resource, now_us))
    return JD_LEASE_NEVER;
  for (uint32_t i = 0; i < jd_lease_member_count (lease); i++)
    {
      const char *member = jd_lease_member_name (lease, i);
      if (strcmp (member, own_member) != 0 && !is_voting_only (ownership, member) &&
          is_preferred (member, own_member, resource))
        until_us = MIN (until_us, jd_lease_down_until_us (lease, i));
    }
  return now_us < until_us ? until_us : JD_LEASE_NEVER;
}

/* Returns TRUE if this process may accept new work on a resource: it owns the resource
 * and is not draining. */
gboolean
jd_ownership_owns (jd_ownership_t *ownership, const char *resource, int64_t now_us)
{
  return jd_lease_state (ownership->lease) == JD_MEMBER_ACTIVE &&
         now_us < jd_ownership_valid_until_us (ownership, resource, now_us);
}
