#include "membership/drain.h"

#include <string.h>

#include "base/invariant.h"

/* A returning zone gets at least this part at once, so that its targets begin to warm
 * up. */
#define FIRST_PART 0.05

struct jd_drain
{
  char *own_zone;
  int64_t zone_ramp_us;
  GHashTable *zones_out;         /* set of zone names */
  GHashTable *returned_us;       /* zone name -> time of its return */
  jd_host_state_record_t *hosts; /* May be NULL. */
  GHashTable *listed;            /* set of ids, addresses or seats */
  GHashTable *reported;          /* set of target ids */
};

/* Returns an empty set of texts. */
static GHashTable *
new_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* Returns a state in which nothing drains. */
jd_drain_t *
jd_drain_new (const char *own_zone, int64_t zone_ramp_us)
{
  jd_drain_t *drain = g_new0 (jd_drain_t, 1);
  drain->own_zone = g_strdup (own_zone);
  drain->zone_ramp_us = zone_ramp_us;
  drain->zones_out = new_set ();
  drain->returned_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  drain->listed = new_set ();
  drain->reported = new_set ();
  return drain;
}

/* Frees a state; NULL is allowed. */
void
jd_drain_free (jd_drain_t *drain)
{
  if (!drain)
    return;
  g_hash_table_unref (drain->zones_out);
  g_hash_table_unref (drain->returned_us);
  g_hash_table_unref (drain->listed);
  g_hash_table_unref (drain->reported);
  jd_host_state_record_unref (drain->hosts);
  g_free (drain->own_zone);
  g_free (drain);
}

/* Returns TRUE when a record lists a zone as out. */
static gboolean
is_out_in (const jd_zone_state_record_t *record, const char *zone)
{
  return record && g_hash_table_contains (record->zones_out, zone);
}

/* Starts the ramp of zones that were out and are in now. */
static void
note_returns (jd_drain_t *drain, const jd_zone_state_record_t *record, int64_t now_us)
{
  GHashTableIter iter;
  gpointer zone;
  g_hash_table_iter_init (&iter, drain->zones_out);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      if (!is_out_in (record, zone))
        g_hash_table_replace (drain->returned_us, g_strdup (zone),
                              g_memdup2 (&now_us, sizeof (now_us)));
    }
}

/* Takes the zones record in force. */
void
jd_drain_set_zones (jd_drain_t *drain, const jd_zone_state_record_t *record,
                    int64_t now_us)
{
  GHashTableIter iter;
  gpointer zone;
  note_returns (drain, record, now_us);
  g_hash_table_remove_all (drain->zones_out);
  if (!record)
    return;
  g_hash_table_iter_init (&iter, record->zones_out);
  while (g_hash_table_iter_next (&iter, &zone, NULL))
    {
      g_hash_table_add (drain->zones_out, g_strdup (zone));
      g_hash_table_remove (drain->returned_us, zone);
    }
}

/* Takes the hosts record in force and keeps a reference. */
void
jd_drain_set_hosts (jd_drain_t *drain, jd_host_state_record_t *record)
{
  jd_host_state_record_t *before = drain->hosts;
  drain->hosts = record ? jd_host_state_record_ref (record) : NULL;
  jd_host_state_record_unref (before);
}

/* Takes the leaving hosts of the platform's list: ids, addresses or seats, ending with
 * NULL. The list lags, so it adds to the other sources and overrides none. */
void
jd_drain_set_listed (jd_drain_t *drain, const char *const *leaving)
{
  g_hash_table_remove_all (drain->listed);
  for (uint32_t i = 0; leaving[i]; i++)
    g_hash_table_add (drain->listed, g_strdup (leaving[i]));
}

/* Takes what a target says about itself. */
void
jd_drain_set_reported (jd_drain_t *drain, const char *target, gboolean is_draining)
{
  if (is_draining)
    g_hash_table_add (drain->reported, g_strdup (target));
  else
    g_hash_table_remove (drain->reported, target);
}

/* Returns TRUE for a zone that gets no new work. */
gboolean
jd_drain_zone_is_out (const jd_drain_t *drain, const char *zone)
{
  return g_hash_table_contains (drain->zones_out, zone);
}

/* Returns TRUE when the own zone is out; the health endpoint then answers 503. */
gboolean
jd_drain_own_zone_is_out (const jd_drain_t *drain)
{
  return jd_drain_zone_is_out (drain, drain->own_zone);
}

/* Returns the part of its usual work that a zone gets: 0 when it is out, growing to 1
 * over the ramp after its return. */
double
jd_drain_zone_part (const jd_drain_t *drain, const char *zone, int64_t now_us)
{
  if (jd_drain_zone_is_out (drain, zone))
    return 0;
  const int64_t *returned_us = g_hash_table_lookup (drain->returned_us, zone);
  if (!returned_us || drain->zone_ramp_us <= 0)
    return 1;
  double part = (double)(now_us - *returned_us) / (double)drain->zone_ramp_us;
  return CLAMP (part, FIRST_PART, 1);
}

/* Returns TRUE when new work may go to a zone now, given a random number in [0, 1). */
gboolean
jd_drain_zone_allows (const jd_drain_t *drain, const char *zone, double draw,
                      int64_t now_us)
{
  gboolean allowed = draw < jd_drain_zone_part (drain, zone, now_us);
  JD_INVARIANT (zone_out, !allowed || !jd_drain_zone_is_out (drain, zone));
  return allowed;
}

/* Returns FALSE for a target that reports that it drains, or that is listed as leaving
 * by the operators or the platform. */
gboolean
jd_drain_target_allows (const jd_drain_t *drain, const char *target, const char *address)
{
  if (drain->hosts && g_hash_table_contains (drain->hosts->leaving_targets, target))
    return FALSE;
  return !g_hash_table_contains (drain->reported, target) &&
         !g_hash_table_contains (drain->listed, target) &&
         !g_hash_table_contains (drain->listed, address);
}

/* Returns TRUE for a seat that the operators or the platform take out of service. */
gboolean
jd_drain_seat_is_draining (const jd_drain_t *drain, const char *seat)
{
  return (drain->hosts && g_hash_table_contains (drain->hosts->draining_seats, seat)) ||
         g_hash_table_contains (drain->listed, seat);
}
