#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "membership/record_feed.h"
#include "membership/record_plan.h"
#include "membership/store_contact.h"
#include "support/test_main.h"

/* Plays the decisions on published records on all hosts of a fleet, without a network:
 * record_plan, store_contact and removal_doubt with record_feed. Meanwhile hosts lose
 * power, freeze or are cut off, messages are lost and connections to the store fall
 * silent. The store itself can be read all the time, but for one outage in some runs. */

#define SEEDS 120
#define RUN_US (25 * JD_US_PER_S)
#define TICK_US JD_US_PER_MS
#define ZONES_MAX 5U
#define HOSTS_MAX 30U
#define STATE_INTERVAL_US (250 * JD_US_PER_MS)
#define READER_AGE_INTERVALS 3
#define STORE_CALL_US (4 * JD_US_PER_MS)
#define COPY_US (6 * JD_US_PER_MS)
#define DARK_US (2 * JD_US_PER_S)
/* A host counts from this long after its start or its last disturbance. */
#define SETTLE_US (4 * JD_US_PER_S)
/* An older connection to the store is not used again, see transport/http_call.c. */
#define IDLE_REUSE_MAX_US (3 * JD_US_PER_S)
/* Reads that fail one after the other until the store counts as unreadable. */
#define FAILURES_MIN 2U
#define FAILURE_AGE_MAX_US (JD_US_PER_S)
#define TARGETS 300U
/* Targets that leave at a time, without notice: more than MAX_REMOVED_SHARE. */
#define LEAVING_MIN 31U
#define LEAVING_MAX 60U
#define MAX_REMOVED_SHARE 0.1
#define MAX_GAP_US (2400 * JD_US_PER_MS)
#define HOLD_US (2900 * JD_US_PER_MS)

/* A call that is running; it ends without success if its time limit comes first. */
typedef struct jd_sim_call
{
  bool is_running;
  bool succeeds;
  int64_t started_us;
  int64_t ends_us;
  int64_t as_of_us; /* Of the records that it brings. */
  int64_t revision;
  uint32_t source;
} jd_sim_call_t;

/* A removal of a target's record, or its return. */
typedef struct jd_sim_event
{
  uint32_t target;
  bool is_removal;
  int64_t revision;
} jd_sim_event_t;

struct jd_sim;

typedef struct jd_sim_host
{
  struct jd_sim *sim;
  uint32_t ip;
  char zone[8];
  bool has_power;
  int64_t frozen_until_us; /* Until then it does nothing and hears nothing. */
  int64_t cut_until_us;    /* Until then it reaches neither hosts nor the store. */
  int64_t counts_from_us;
  jd_record_feed_t *feed;
  jd_store_contact_t contact;
  int64_t read_failed_us;
  int64_t failed_read_started_us;
  uint32_t failure_count; /* Reads that failed one after the other. */
  bool is_store_silent;   /* Its kept connection to the store gets no answers. */
  uint64_t incarnation;
  uint64_t sequence;
  jd_peer_table_t *peers;
  jd_record_view_t view;
  bool is_store_reader;
  int64_t last_read_us;
  int64_t next_step_us;
  int64_t next_state_us;
  int64_t back_us; /* Time at which power returns. */
  jd_sim_call_t read;
  jd_sim_call_t copy;
} jd_sim_host_t;

typedef struct jd_sim
{
  jd_record_budget_t budget;
  jd_sim_host_t hosts[HOSTS_MAX];
  uint32_t host_count;
  uint32_t zone_count;
  double message_loss;
  bool has_losses;
  int64_t revision; /* Of the store. */
  int64_t now_us;
  int64_t loss_us; /* Time of the next loss of power. */
  jd_philox_t random;
  uint32_t read_count;
  int64_t oldest_us;           /* Greatest age of the records of a host that counts. */
  GArray *events;              /* jd_sim_event_t, of the store, by revision. */
  int64_t removed_us[TARGETS]; /* 0: the target has not left. */
  int64_t leave_us;            /* Time at which targets leave; 0: never. */
  int64_t away_from_us;        /* Start of the outage; 0: none. */
  int64_t away_until_us;
  int64_t returned_until_us; /* All lapsed records are written again by then. */
  uint32_t dropped_count;    /* Removals that took effect. */
  int64_t latest_us; /* Longest time until a removal took effect on a host that counts. */
} jd_sim_t;

static double
draw_unit (jd_sim_t *sim)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return jd_rng_unit (&rng);
}

static uint32_t
draw_below (jd_sim_t *sim, uint32_t bound)
{
  jd_rng_t rng = jd_philox_rng (&sim->random);
  return (uint32_t)jd_rng_below (&rng, bound);
}

/* Feed callback: all values are equal. */
static bool
is_same (void *context, const char *key, GBytes *before, GBytes *after)
{
  return true;
}

/* Feed callback: notes how late a removal takes effect. */
static void
on_change (void *context, const char *key, GBytes *value)
{
  const jd_sim_host_t *host = context;
  jd_sim_t *sim = host->sim;
  int64_t removed_us = sim->removed_us[g_ascii_strtoull (key, NULL, 10)];
  if (value)
    return;
  sim->dropped_count++;
  if (sim->now_us >= host->counts_from_us)
    sim->latest_us = MAX (sim->latest_us, sim->now_us - removed_us);
}

/* Adds a change of a target's record to the store. */
static void
write_record (jd_sim_t *sim, uint32_t target, bool is_removal)
{
  jd_sim_event_t event = { .target = target,
                           .is_removal = is_removal,
                           .revision = ++sim->revision };
  g_array_append_val (sim->events, event);
  if (is_removal)
    sim->removed_us[target] = sim->now_us;
}

/* Applies the changes up to a revision that a host does not have. */
static void
apply_changes (jd_sim_t *sim, jd_sim_host_t *host, int64_t revision)
{
  static GBytes *value;
  if (!value)
    value = g_bytes_new_static ("a", 1);
  jd_record_feed_begin_batch (host->feed);
  for (guint i = 0; i < sim->events->len; i++)
    {
      const jd_sim_event_t *event = &g_array_index (sim->events, jd_sim_event_t, i);
      char key[16];
      if (event->revision <= host->view.revision || event->revision > revision)
        continue;
      g_snprintf (key, sizeof (key), "%u", event->target);
      if (event->is_removal)
        jd_record_feed_remove (host->feed, key, event->revision);
      else
        jd_record_feed_put (host->feed, key, value, event->revision, JD_RECORD_COPIED);
    }
  jd_record_feed_end_batch (host->feed, sim->now_us);
}

static void
advance (jd_sim_host_t *host, int64_t revision, int64_t as_of_us)
{
  jd_record_feed_advance (host->feed, revision, as_of_us);
  host->view.revision = jd_record_feed_revision (host->feed);
  host->view.as_of_us = jd_record_feed_as_of_us (host->feed);
}

static void
hold_after_outage (jd_sim_t *sim, jd_sim_host_t *host)
{
  const jd_own_contact_t own = { .as_of_us = host->view.as_of_us,
                                 .failed_us = host->read_failed_us,
                                 .failed_start_us = host->failed_read_started_us };
  jd_store_contact_note (&host->contact, host->peers, &own, sim->now_us);
  jd_record_feed_hold_removals (
      host->feed, jd_store_contact_hold_until_us (&host->contact, &own, sim->now_us));
}

static void
free_host (jd_sim_host_t *host)
{
  jd_peer_table_free (host->peers);
  jd_record_feed_free (host->feed);
}

static void
start_host (jd_sim_t *sim, jd_sim_host_t *host)
{
  if (host->peers)
    free_host (host);
  const jd_feed_events_t events = { .is_same = is_same,
                                    .on_change = on_change,
                                    .context = host };
  const jd_removal_doubt_t doubt = { .max_share = MAX_REMOVED_SHARE,
                                     .drain_limit_us = sim->budget.limit_us };
  host->sim = sim;
  host->feed = jd_record_feed_new (&events);
  jd_record_feed_set_doubt (host->feed, &doubt);
  host->contact = (jd_store_contact_t){ .max_gap_us = MAX_GAP_US,
                                        .stable_us = SETTLE_US,
                                        .hold_us = HOLD_US };
  host->read_failed_us = host->failure_count = 0;
  host->frozen_until_us = host->cut_until_us = 0;
  host->counts_from_us = sim->now_us + SETTLE_US;
  host->peers = jd_peer_table_new (host->ip, host->zone);
  host->has_power = true;
  host->is_store_silent = false;
  host->incarnation++;
  host->sequence = 0;
  host->view = (jd_record_view_t){ .started_us = sim->now_us };
  host->last_read_us = 0;
  host->next_step_us = sim->now_us + 50 * JD_US_PER_MS;
  host->next_state_us = sim->now_us;
  host->read = host->copy = (jd_sim_call_t){ 0 };
}

/* Returns TRUE if a host runs and has a link. */
static bool
is_reachable (const jd_sim_t *sim, const jd_sim_host_t *host)
{
  return host->has_power && sim->now_us >= host->frozen_until_us &&
         sim->now_us >= host->cut_until_us;
}

/* Returns TRUE if the store answers a read of a host. */
static bool
is_store_reachable (const jd_sim_t *sim, const jd_sim_host_t *host)
{
  bool is_away = sim->now_us >= sim->away_from_us && sim->now_us < sim->away_until_us;
  return !host->is_store_silent && !is_away && sim->now_us >= host->cut_until_us;
}

/* Starts a copy if the source has changes; takes its word for the age of the records
 * otherwise. */
static void
follow (jd_sim_t *sim, jd_sim_host_t *host, const jd_peer_t *peer)
{
  if (host->view.revision > 0 && peer->state.changed_revision <= host->view.revision)
    {
      advance (host, peer->state.feed_revision,
               peer->last_message_us - peer->state.feed_age_us);
      return;
    }
  int64_t limit_us =
      jd_record_plan_copy_limit_us (&sim->budget, &host->view, sim->now_us);
  const jd_sim_host_t *source = &sim->hosts[peer->state.ip - 1];
  bool answers = is_reachable (sim, source) && is_reachable (sim, host);
  host->copy = (jd_sim_call_t){
    .is_running = true,
    .succeeds = answers && source->view.as_of_us > 0,
    .started_us = sim->now_us,
    .ends_us = sim->now_us + (answers ? COPY_US : limit_us),
    .as_of_us = source->view.as_of_us,
    .revision = source->view.revision,
    .source = peer->state.ip,
  };
  host->view.is_copying = true;
}

static void
take_step (jd_sim_t *sim, jd_sim_host_t *host)
{
  jd_record_feed_release_removals (host->feed, sim->now_us);
  host->view.held_until_us = jd_record_feed_removals_held_until_us (host->feed);
  jd_record_plan_t plan =
      jd_record_plan_choose (&sim->budget, host->peers, &host->view, sim->now_us);
  host->next_step_us = sim->now_us + plan.next_step_in_us;
  host->is_store_reader = plan.is_reader || plan.is_own_read_due;
  if (plan.starts_read)
    {
      if (sim->now_us - host->last_read_us > IDLE_REUSE_MAX_US)
        host->is_store_silent = false; /* The read opens a connection. */
      bool answers = is_store_reachable (sim, host);
      sim->read_count++;
      hold_after_outage (sim, host);
      host->read = (jd_sim_call_t){
        .is_running = true,
        .succeeds = answers,
        .started_us = sim->now_us,
        .ends_us = sim->now_us + (answers ? STORE_CALL_US : plan.read_limit_us),
        .as_of_us = sim->now_us,
        .revision = sim->revision,
      };
      host->view.is_reading = true;
    }
  if (plan.source)
    follow (sim, host, plan.source);
}

/* Sends the state of a host to all others; each message may be lost. */
static void
send_state (jd_sim_t *sim, jd_sim_host_t *host)
{
  jd_peer_state_t state = {
    .ip = host->ip,
    .incarnation = host->incarnation,
    .sequence = ++host->sequence,
    .reads_store = host->view.reads_store,
    .store_failed = host->read_failed_us > host->view.as_of_us &&
                    sim->now_us - host->read_failed_us < FAILURE_AGE_MAX_US,
    .feed_revision = host->view.revision,
    .changed_revision = host->view.revision,
    .tombstones_since = 1,
    .feed_age_us = sim->now_us - host->view.as_of_us,
  };
  g_strlcpy (state.zone, host->zone, sizeof (state.zone));
  host->next_state_us = sim->now_us + STATE_INTERVAL_US;
  for (uint32_t i = 0; i < sim->host_count; i++)
    {
      jd_sim_host_t *other = &sim->hosts[i];
      if (other == host || !is_reachable (sim, other) || !is_reachable (sim, host) ||
          draw_unit (sim) < sim->message_loss)
        continue;
      jd_peer_table_update (other->peers, &state, sim->now_us);
      hold_after_outage (sim, other);
      const jd_peer_t *peer =
          jd_record_plan_offer (&sim->budget, other->peers, &other->view, sim->now_us);
      if (peer)
        follow (sim, other, peer);
    }
}

/* Applies the records that a call has brought. */
static void
apply_records (jd_sim_t *sim, jd_sim_host_t *host, const jd_sim_call_t *call)
{
  apply_changes (sim, host, call->revision);
  advance (host, call->revision, call->as_of_us);
}

static void
end_read (jd_sim_t *sim, jd_sim_host_t *host)
{
  host->read.is_running = host->view.is_reading = false;
  host->is_store_silent = false; /* The next read opens a connection. */
  host->view.store_failed = !host->read.succeeds;
  host->view.read_again_us = 0;
  if (host->read.succeeds)
    {
      host->last_read_us = host->read.started_us;
      apply_records (sim, host, &host->read);
      host->view.reads_store = true;
      host->failure_count = 0;
      send_state (sim, host);
      if (jd_record_feed_removals_held_until_us (host->feed) > sim->now_us)
        take_step (sim, host);
      return;
    }
  if (++host->failure_count >= FAILURES_MIN)
    {
      host->read_failed_us = sim->now_us;
      host->failed_read_started_us = host->read.started_us;
      if (host->failure_count == FAILURES_MIN)
        send_state (sim, host);
    }
  host->view.reads_store = false;
  host->view.read_again_us = jd_record_plan_read_again_us (
      &sim->budget, &host->view, host->read.started_us, sim->now_us);
  take_step (sim, host);
}

static void
end_copy (jd_sim_t *sim, jd_sim_host_t *host)
{
  host->copy.is_running = host->view.is_copying = false;
  if (host->copy.succeeds)
    {
      hold_after_outage (sim, host);
      apply_records (sim, host, &host->copy);
      if (jd_record_feed_removals_held_until_us (host->feed) > sim->now_us)
        take_step (sim, host);
      return;
    }
  jd_peer_table_copy_failed (host->peers, host->copy.source, sim->now_us);
  take_step (sim, host);
}

/* Takes the power from a set of hosts, freezes them or cuts them off: a few of any zone,
 * or all of one zone. */
static void
disturb_hosts (jd_sim_t *sim)
{
  uint32_t kind = draw_below (sim, 3);
  bool takes_zone = draw_unit (sim) < 0.25;
  double share = 0.1 + 0.5 * draw_unit (sim);
  const char *zone = sim->hosts[draw_below (sim, sim->host_count)].zone;
  for (uint32_t i = 0; i < sim->host_count; i++)
    {
      jd_sim_host_t *host = &sim->hosts[i];
      bool is_hit = takes_zone ? strcmp (host->zone, zone) == 0 : draw_unit (sim) < share;
      if (!is_hit || !host->has_power)
        continue;
      int64_t end_us = sim->now_us + DARK_US + draw_below (sim, 3) * JD_US_PER_S;
      host->counts_from_us = MAX (host->counts_from_us, end_us + SETTLE_US);
      if (kind == 0)
        host->has_power = false;
      if (kind == 0)
        host->back_us = sim->now_us + DARK_US;
      else if (kind == 1)
        host->frozen_until_us = end_us;
      else
        host->cut_until_us = end_us;
    }
  /* Losses come in series, 100 to 1,500 ms apart, with pauses between the series. */
  sim->loss_us =
      sim->now_us + (draw_unit (sim) < 0.6 ? (100 + draw_below (sim, 1400)) * JD_US_PER_MS
                                           : (3 + draw_below (sim, 5)) * JD_US_PER_S);
}

static void
run_host (jd_sim_t *sim, jd_sim_host_t *host)
{
  if (!host->has_power)
    {
      if (sim->now_us >= host->back_us)
        start_host (sim, host);
      return;
    }
  if (sim->now_us < host->frozen_until_us)
    return;
  host->view.reads_store = host->is_store_reader && host->last_read_us > 0 &&
                           !host->view.store_failed &&
                           sim->now_us - host->last_read_us <
                               READER_AGE_INTERVALS * sim->budget.read_interval_us;
  if (sim->has_losses && !host->read.is_running && draw_unit (sim) < 0.0001)
    host->is_store_silent = true;
  if (host->read.is_running && sim->now_us >= host->read.ends_us)
    end_read (sim, host);
  if (host->copy.is_running && sim->now_us >= host->copy.ends_us)
    end_copy (sim, host);
  if (sim->now_us >= host->next_step_us)
    take_step (sim, host);
  if (sim->now_us >= host->next_state_us)
    send_state (sim, host);
  if (sim->now_us > host->counts_from_us)
    sim->oldest_us = MAX (sim->oldest_us, sim->now_us - host->view.as_of_us);
}

/* Lets targets leave, or their records lapse while the store is away and return later. */
static void
change_targets (jd_sim_t *sim)
{
  if (sim->leave_us > 0 && sim->now_us >= sim->leave_us)
    {
      uint32_t first = draw_below (sim, TARGETS);
      uint32_t count = LEAVING_MIN + draw_below (sim, LEAVING_MAX - LEAVING_MIN);
      for (uint32_t i = 0; i < count; i++)
        {
          uint32_t target = (first + i) % TARGETS;
          if (sim->removed_us[target] == 0)
            write_record (sim, target, true);
        }
      sim->leave_us = sim->now_us + (3 + draw_below (sim, 4)) * JD_US_PER_S;
    }
  /* The records of live targets expire in the outage, and each is written again within
   * two seconds of its end. */
  uint32_t target = draw_below (sim, TARGETS);
  if (sim->away_from_us > 0 && sim->now_us == sim->away_until_us - TICK_US)
    for (uint32_t i = 0; i < TARGETS; i++)
      write_record (sim, i, true);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      bool is_last = sim->now_us + TICK_US >= sim->returned_until_us;
      if (sim->removed_us[i] > 0 && sim->returned_until_us > 0 &&
          sim->now_us > sim->away_until_us && (i == target || is_last))
        {
          write_record (sim, i, false);
          sim->removed_us[i] = 0;
        }
    }
}

static void
run_fleet (jd_sim_t *sim)
{
  sim->now_us = JD_US_PER_S;
  sim->events = g_array_new (FALSE, FALSE, sizeof (jd_sim_event_t));
  for (uint32_t i = 0; i < TARGETS; i++)
    write_record (sim, i, false);
  sim->loss_us = sim->now_us + SETTLE_US;
  for (uint32_t i = 0; i < sim->host_count; i++)
    {
      jd_sim_host_t *host = &sim->hosts[i];
      host->ip = i + 1;
      g_snprintf (host->zone, sizeof (host->zone), "z%u", i % sim->zone_count);
      start_host (sim, host);
    }
  int64_t end_us = sim->now_us + RUN_US;
  for (; sim->now_us < end_us; sim->now_us += TICK_US)
    {
      sim->revision += draw_unit (sim) < 0.01;
      if (sim->has_losses && sim->now_us >= sim->loss_us)
        disturb_hosts (sim);
      change_targets (sim);
      for (uint32_t i = 0; i < sim->host_count; i++)
        run_host (sim, &sim->hosts[i]);
    }
  for (uint32_t i = 0; i < sim->host_count; i++)
    free_host (&sim->hosts[i]);
  g_array_free (sim->events, TRUE);
}

/* Guards against waits for lost sources, and for a silent connection to the store, that
 * add up under the limit for changes (review/7). */
static void
no_host_is_later_than_the_limit (void)
{
  static const int64_t limits_s[] = { 2, 3, 4, 6 };
  int64_t worst_percent = 0, latest_percent = 0;
  uint64_t removal_count = 0;
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      static jd_sim_t sim;
      memset (&sim, 0, sizeof (sim));
      sim.random.seed = seed;
      sim.has_losses = true;
      sim.zone_count = 1 + draw_below (&sim, ZONES_MAX);
      sim.host_count = sim.zone_count + draw_below (&sim, HOSTS_MAX - sim.zone_count);
      sim.message_loss = draw_below (&sim, 4) * 0.1;
      int64_t limit_us = limits_s[draw_below (&sim, 4)] * JD_US_PER_S;
      sim.budget = jd_record_budget_new (limit_us);
      sim.leave_us = SETTLE_US + draw_below (&sim, 3) * JD_US_PER_S;
      run_fleet (&sim);
      worst_percent = MAX (worst_percent, sim.oldest_us * 100 / limit_us);
      latest_percent = MAX (latest_percent, sim.latest_us * 100 / limit_us);
      removal_count += sim.dropped_count;
      if (sim.latest_us > limit_us)
        printf ("seed %u: a removal took effect after %" G_GINT64_FORMAT
                " of %" G_GINT64_FORMAT " ms\n",
                seed, sim.latest_us / JD_US_PER_MS, limit_us / JD_US_PER_MS);
      CU_ASSERT_TRUE (sim.latest_us <= limit_us);
      if (sim.oldest_us > limit_us)
        printf ("seed %u: %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT " ms\n", seed,
                sim.oldest_us / JD_US_PER_MS, limit_us / JD_US_PER_MS);
      CU_ASSERT_TRUE (sim.oldest_us <= limit_us);
    }
  printf ("%" G_GINT64_FORMAT "%% of the limit, %" G_GINT64_FORMAT "%% for removals ",
          worst_percent, latest_percent);
  CU_ASSERT_TRUE (removal_count > (uint64_t)SEEDS * LEAVING_MIN);
}

/* Guards against the loss of live targets whose records expire in an outage of the store,
 * also on hosts that did not read in it. */
static void
outage_takes_no_live_target_away (void)
{
  static const int64_t limits_s[] = { 3, 5, 6 };
  for (uint32_t seed = 1; seed <= SEEDS / 2; seed++)
    {
      static jd_sim_t sim;
      memset (&sim, 0, sizeof (sim));
      sim.random.seed = seed;
      sim.zone_count = 1 + draw_below (&sim, ZONES_MAX);
      sim.host_count = 2 * sim.zone_count + draw_below (&sim, 20);
      sim.budget = jd_record_budget_new (limits_s[draw_below (&sim, 3)] * JD_US_PER_S);
      sim.away_from_us = 8 * JD_US_PER_S + draw_below (&sim, 3000) * JD_US_PER_MS;
      sim.away_until_us =
          sim.away_from_us + (2500 + draw_below (&sim, 4000)) * JD_US_PER_MS;
      sim.returned_until_us =
          sim.away_until_us + (500 + draw_below (&sim, 1500)) * JD_US_PER_MS;
      run_fleet (&sim);
      if (sim.dropped_count > 0)
        printf ("seed %u: %u removals took effect, limit %" G_GINT64_FORMAT
                " ms, outage of %" G_GINT64_FORMAT " ms, %u hosts, %u zones\n",
                seed, sim.dropped_count, sim.budget.limit_us / JD_US_PER_MS,
                (sim.away_until_us - sim.away_from_us) / JD_US_PER_MS, sim.host_count,
                sim.zone_count);
      CU_ASSERT_EQUAL (sim.dropped_count, 0);
    }
}

/* Guards against a bound that is kept by reads of every host: in a sound fleet only the
 * reader of each zone reads the store, also if one message in twenty is lost. */
static void
sound_fleet_reads_once_a_zone (void)
{
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      static jd_sim_t sim;
      memset (&sim, 0, sizeof (sim));
      sim.random.seed = seed;
      sim.zone_count = 1 + seed % ZONES_MAX;
      sim.host_count = HOSTS_MAX;
      sim.message_loss = 0.05;
      sim.budget = jd_record_budget_new (3 * JD_US_PER_S);
      run_fleet (&sim);
      uint32_t regular_reads =
          (uint32_t)(RUN_US / sim.budget.read_interval_us) * sim.zone_count;
      CU_ASSERT_TRUE (sim.read_count <= HOSTS_MAX + regular_reads * 6 / 5);
      CU_ASSERT_TRUE (sim.oldest_us < sim.budget.own_read_max_us);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "no host is later than the limit", no_host_is_later_than_the_limit },
    { "outage takes no live target away", outage_takes_no_live_target_away },
    { "sound fleet reads once a zone", sound_fleet_reads_once_a_zone },
  };
  return JD_TEST_RUN ("record_age", cases);
}
