#include "support/rate_fleet.h"

#include <string.h>

#include "base/clock.h"

/* Values of docs/design.md, 4.1. */
#define LEASE_US 800000
#define RENEW_US 200000
#define WORK_BOUND_US 500000

#define FAULT_STEP_US 50000
#define LEARN_US 3000000
#define PUBLISH_EVERY_US 9000000
#define SHARES_MAX 64
#define SEATS_MAX 256
#define ORGANISATION_SHIFT 48

typedef enum event_kind
{
  EVENT_REQUEST,
  EVENT_ASK,
  EVENT_GRANT,
  EVENT_TICK,
  EVENT_RENEW,
  EVENT_CONFIG,
  EVENT_RESUME,
  EVENT_FAULTS,
} event_kind_t;

typedef struct event
{
  int64_t at_us;
  uint64_t sequence; /* Events of one time run in order of insertion. */
  event_kind_t kind;
  uint32_t seat;    /* Receiver of requests and messages. */
  uint32_t process; /* Receiver of the other kinds. */
  uint32_t from;    /* Seat. */
  uint32_t organisation;
  uint64_t request_id; /* Version for EVENT_CONFIG. */
  bool copy;           /* A repeated message. */
  jd_token_ask_t ask;
  jd_token_grant_t grant;
} event_t;

typedef struct config
{
  double weights[JD_FLEET_MAX_ZONES];
  double scale[JD_FLEET_MAX_ORGANISATIONS];
} config_t;

typedef struct process
{
  jd_rate_fleet_t *fleet;
  jd_rate_limiter_t *limiter;
  jd_philox_t nonces;
  uint32_t index;
  uint32_t seat;
  bool alive;
  bool superseded; /* A newer process has its identity. */
  int64_t clock_offset_us;
  int64_t drift_ppm;
  int64_t busy_until_us;
  int64_t lease_end_us; /* True time, upper bound. */
  int64_t tick_at_us;
  int64_t read_at_us; /* True time of the reading in use. */
  uint64_t config_version;
  event_t *interrupted; /* Read the clock, then paused. */
  int64_t interrupted_read_us;
  GQueue backlog;
} process_t;

typedef struct share
{
  int32_t owner; /* Process, -1 for none. */
  int64_t free_at_us;
} share_t;

struct jd_rate_fleet
{
  jd_rate_fleet_options_t options;
  GSequence *events;
  uint64_t next_sequence;
  jd_philox_t philox;
  jd_rng_t rng;
  GPtrArray *processes;
  share_t shares[JD_FLEET_MAX_ZONES][SHARES_MAX];
  GArray *configs;
  int64_t published_at_us;
  int64_t healed_at_us;
  bool cut[SEATS_MAX]; /* Side of each seat. */
  jd_rate_history_t admitted[JD_FLEET_MAX_ORGANISATIONS];
  jd_rate_history_t started[JD_FLEET_MAX_ORGANISATIONS];
  int64_t now_us;
  uint64_t messages;
};

/* Returns true with a probability. */
static bool
chance (jd_rate_fleet_t *fleet, double probability)
{
  return jd_rng_unit (&fleet->rng) < probability;
}

/* Returns a number in [low, high). */
static int64_t
between (jd_rate_fleet_t *fleet, int64_t low, int64_t high)
{
  return low + (int64_t)jd_rng_below (&fleet->rng, (uint64_t)(high - low));
}

/* Returns the process at an index. */
static process_t *
process_at (const jd_rate_fleet_t *fleet, uint32_t index)
{
  return fleet->processes->pdata[index];
}

/* Returns the number of seats. */
static uint32_t
seat_count (const jd_rate_fleet_t *fleet)
{
  return fleet->options.zones * fleet->options.seats_per_zone;
}

/* Returns a process clock's reading at a true time. */
static int64_t
reading (const process_t *process, int64_t true_us)
{
  return process->clock_offset_us + true_us + true_us * process->drift_ppm / JD_US_PER_S;
}

/* Compares two events for the queue. */
static gint
compare_events (gconstpointer a, gconstpointer b, gpointer context)
{
  const event_t *left = a;
  const event_t *right = b;
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  return left->sequence < right->sequence ? -1 : 1;
}

/* Schedules a copy of an event. */
static void
schedule (jd_rate_fleet_t *fleet, int64_t at_us, event_t event)
{
  event.at_us = at_us;
  event.sequence = fleet->next_sequence++;
  g_sequence_insert_sorted (fleet->events, g_memdup2 (&event, sizeof (event)),
                            compare_events, NULL);
}

/* Sends a message with the faults of the network. */
static void
transmit (process_t *process, const char *peer, event_t event)
{
  jd_rate_fleet_t *fleet = process->fleet;
  event.seat = (uint32_t)g_ascii_strtoull (peer, NULL, 10);
  event.from = process->seat;
  uint32_t per_zone = fleet->options.seats_per_zone;
  bool local = event.seat / per_zone == process->seat / per_zone;
  int64_t one_way_us = local ? fleet->options.one_way_us / 2 : fleet->options.one_way_us;
  const jd_fleet_trouble_t *trouble = &fleet->options.trouble;
  fleet->messages++;
  if (fleet->cut[event.seat] != fleet->cut[process->seat])
    return;
  if (chance (fleet, trouble->lost))
    return;
  int copies = chance (fleet, trouble->repeated) ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      int64_t delay_us = one_way_us + between (fleet, 0, one_way_us / 4 + 1);
      if (chance (fleet, trouble->slow))
        delay_us += between (fleet, 0, fleet->options.settings.transfer_lifetime_us);
      if (chance (fleet, trouble->late))
        delay_us += between (fleet, 0, 1500000);
      event.copy = i > 0;
      schedule (fleet, fleet->now_us + delay_us, event);
    }
}

/* Callback of the limiter. */
static void
send_ask (void *context, const char *peer, const jd_token_ask_t *ask)
{
  transmit (context, peer, (event_t){ .kind = EVENT_ASK, .ask = *ask });
}

/* Callback of the limiter. */
static void
send_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
  transmit (context, peer, (event_t){ .kind = EVENT_GRANT, .grant = *grant });
}

/* Records the end of a request; a callback of the limiter, where the id carries the
 * organisation. It counts as admitted at the clock reading; work that a pause delays
 * beyond the work bound is refused by its receiver. */
static void
decided (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
{
  process_t *process = context;
  jd_rate_fleet_t *fleet = process->fleet;
  uint64_t organisation = request_id >> ORGANISATION_SHIFT;
  if (admitted)
    {
      jd_rate_history_add (&fleet->admitted[organisation], process->read_at_us);
      if (fleet->now_us - process->read_at_us <= WORK_BOUND_US)
        jd_rate_history_add (&fleet->started[organisation], fleet->now_us);
    }
  if (fleet->options.decided)
    fleet->options.decided (fleet->options.context,
                            request_id - (organisation << ORGANISATION_SHIFT), admitted,
                            fleet->now_us);
}

/* Gives a process the organisations of a configuration version. */
static void
apply_config (process_t *process, uint64_t version, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  const jd_rate_fleet_options_t *options = &fleet->options;
  const config_t *config = &g_array_index (fleet->configs, config_t, version);
  double weight = config->weights[process->seat / options->seats_per_zone];
  jd_organisation_rate_t rates[JD_FLEET_MAX_ORGANISATIONS];
  char names[JD_FLEET_MAX_ORGANISATIONS][8];
  for (uint32_t i = 0; i < options->organisation_count; i++)
    {
      const jd_fleet_organisation_t *organisation = &options->organisations[i];
      g_snprintf (names[i], sizeof (names[i]), "%u", i);
      rates[i] = (jd_organisation_rate_t){
        names[i], jd_share_rate_of (organisation->rate_per_s * config->scale[i],
                                    organisation->burst * config->scale[i], weight,
                                    options->settings.shares_per_zone)
      };
    }
  process->config_version = version;
  jd_rate_limiter_set_organisations (process->limiter, now_us, rates,
                                     options->organisation_count);
}

/* Tells a process its peers: the seats that follow its own position in each zone. */
static void
apply_peers (process_t *process, int64_t now_us)
{
  const jd_rate_fleet_options_t *options = &process->fleet->options;
  uint32_t per_zone = options->seats_per_zone;
  uint32_t zone = process->seat / per_zone;
  uint32_t asked = options->peers_per_zone ? options->peers_per_zone : per_zone;
  jd_token_peer_t peers[SEATS_MAX] = { 0 };
  uint32_t count = 0;
  for (uint32_t i = 0; i < options->zones * asked; i++)
    {
      uint32_t seat = i / asked * per_zone + (process->seat + 1 + i % asked) % per_zone;
      if (seat == process->seat)
        continue;
      g_snprintf (peers[count].name, sizeof (peers[count].name), "%u", seat);
      peers[count].owned_shares = -1;
      peers[count++].same_zone = i / asked == zone;
    }
  jd_rate_limiter_set_peers (process->limiter, now_us, peers, count);
}

/* Starts a process of a seat: no tokens, no shares, its own clock. */
static void
start_process (jd_rate_fleet_t *fleet, uint32_t seat)
{
  process_t *process = g_new0 (process_t, 1);
  process->fleet = fleet;
  process->seat = seat;
  process->index = fleet->processes->len;
  process->alive = true;
  process->nonces =
      (jd_philox_t){ .seed = fleet->options.seed, .stream = process->index + 1 };
  process->clock_offset_us = between (fleet, 0, 1000000000);
  process->drift_ppm =
      (int64_t)((jd_rng_unit (&fleet->rng) * 2 - 1) * fleet->options.drift_ppm);
  process->tick_at_us = INT64_MAX;
  process->lease_end_us = -1;
  g_queue_init (&process->backlog);
  jd_rate_actions_t actions = { send_ask, send_grant, decided, process };
  process->limiter = jd_rate_limiter_new (&fleet->options.settings, &actions,
                                          jd_philox_rng (&process->nonces));
  g_ptr_array_add (fleet->processes, process);
  int64_t now_us = reading (process, fleet->now_us);
  apply_config (process, fleet->configs->len - 1, now_us);
  apply_peers (process, now_us);
  schedule (fleet, fleet->now_us + between (fleet, 0, RENEW_US),
            (event_t){ .kind = EVENT_RENEW, .process = process->index });
}

/* Frees a process. */
static void
free_process (void *data)
{
  process_t *process = data;
  jd_rate_limiter_free (process->limiter);
  g_queue_clear_full (&process->backlog, g_free);
  g_free (process->interrupted);
  g_free (process);
}

/* Takes shares from processes whose lease has ended. */
static void
release_shares (jd_rate_fleet_t *fleet, uint32_t zone)
{
  bool no_gap = fleet->options.off == JD_FLEET_NO_TAKEOVER_GAP;
  for (uint32_t i = 0; i < fleet->options.settings.shares_per_zone; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      if (share->owner < 0)
        continue;
      const process_t *owner = process_at (fleet, (uint32_t)share->owner);
      bool doubtful = owner->superseded || owner->busy_until_us > fleet->now_us ||
                      fleet->cut[owner->seat];
      if (fleet->now_us <= owner->lease_end_us && !(no_gap && doubtful))
        continue;
      share->owner = -1;
      share->free_at_us =
          no_gap ? fleet->now_us : owner->lease_end_us + fleet->options.takeover_gap_us;
    }
}

/* Lets a process take free shares up to its part and give up others. Returns how many it
 * owns. */
static uint32_t
settle_shares (process_t *process)
{
  jd_rate_fleet_t *fleet = process->fleet;
  uint32_t zone = process->seat / fleet->options.seats_per_zone;
  uint32_t count = fleet->options.settings.shares_per_zone;
  uint32_t present = 0;
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      const process_t *other = process_at (fleet, i);
      present += other->alive && other->lease_end_us >= fleet->now_us &&
                 other->seat / fleet->options.seats_per_zone == zone;
    }
  uint32_t part = (count + present - 1) / MAX (present, 1);
  release_shares (fleet, zone);
  uint32_t owned = 0;
  for (uint32_t i = 0; i < count; i++)
    owned += fleet->shares[zone][i].owner == (int32_t)process->index;
  for (uint32_t i = 0; i < count; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      bool mine = share->owner == (int32_t)process->index;
      if (mine && owned > part)
        {
          share->owner = -1;
          share->free_at_us = fleet->now_us + fleet->options.takeover_gap_us;
          owned--;
        }
      else if (share->owner < 0 && share->free_at_us <= fleet->now_us && owned < part &&
               process->read_at_us == fleet->now_us)
        {
          share->owner = (int32_t)process->index;
          owned++;
        }
    }
  return owned;
}

/* Makes a process give up all shares and announce it when its grants have expired; others
 * take them from then on without a gap. */
static void
announce_release (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  uint32_t zone = process->seat / fleet->options.seats_per_zone;
  jd_rate_limiter_set_shares (process->limiter, now_us, 0, now_us);
  int64_t fresh_us = reading (process, fleet->now_us);
  int64_t release_us = jd_rate_limiter_release_at_us (process->limiter);
  int64_t rest_us = release_us > fresh_us ? release_us - fresh_us + 100 : 0;
  for (uint32_t i = 0; i < fleet->options.settings.shares_per_zone; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      if (share->owner == (int32_t)process->index)
        *share = (share_t){ -1, fleet->now_us + rest_us };
    }
}

/* Renews the lease of a process unless it is cut off or superseded. */
static void
renew (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  schedule (fleet, fleet->now_us + RENEW_US,
            (event_t){ .kind = EVENT_RENEW, .process = process->index });
  if (process->superseded || fleet->cut[process->seat])
    return;
  release_shares (fleet, process->seat / fleet->options.seats_per_zone);
  process->lease_end_us = process->read_at_us + LEASE_US + LEASE_US / 2000;
  uint32_t owned = settle_shares (process);
  bool forever = fleet->options.off == JD_FLEET_LEASE_END_IGNORED;
  jd_rate_limiter_set_shares (process->limiter, now_us, owned,
                              forever ? INT64_MAX : now_us + LEASE_US);
  if (chance (fleet, fleet->options.trouble.restarted))
    announce_release (process, now_us);
}

/* Hands a message to the limiter. Credits it past the limiter's checks where those are
 * switched off. */
static void
hand_over (process_t *process, const event_t *event, int64_t now_us)
{
  char from[16];
  g_snprintf (from, sizeof (from), "%u", event->from);
  if (event->kind == EVENT_ASK)
    {
      jd_rate_limiter_on_token_ask (process->limiter, from, &event->ask);
      return;
    }
  jd_rate_limiter_on_token_grant (process->limiter, from, &event->grant);
  const jd_rate_settings_t *settings = &process->fleet->options.settings;
  jd_fleet_fault_t off = process->fleet->options.off;
  bool late = now_us - event->grant.echoed_asked_at_us >= settings->transfer_lifetime_us;
  if ((off == JD_FLEET_GRANTS_CREDITED_TWICE && event->copy) ||
      (off == JD_FLEET_LATE_GRANTS_CREDITED && late && !event->copy))
    {
      jd_organisation_limit_t *found =
          jd_rate_limiter_find (process->limiter, event->grant.organisation);
      jd_rate_share_advance (&found->share, now_us);
      jd_rate_share_credit (&found->share, event->grant.amount_microtokens,
                            now_us + settings->transfer_lifetime_us);
    }
}

/* Requests admission at a process. */
static void
request (process_t *process, const event_t *event, int64_t now_us)
{
  char name[16];
  g_snprintf (name, sizeof (name), "%u", event->organisation);
  uint64_t id = event->request_id + ((uint64_t)event->organisation << ORGANISATION_SHIFT);
  jd_admission_t result = jd_rate_limiter_request (process->limiter, now_us, id, name,
                                                   now_us + WORK_BOUND_US);
  if (result != JD_ADMISSION_WAITING)
    decided (process, id, result == JD_ADMISSION_ADMITTED, now_us);
}

/* Forgets grants in flight where counting them is switched off. */
static void
forget_sent (process_t *process)
{
  for (uint32_t i = 0; i < process->fleet->options.organisation_count; i++)
    {
      char name[16];
      g_snprintf (name, sizeof (name), "%u", i);
      jd_token_parcels_t *sent =
          &jd_rate_limiter_find (process->limiter, name)->share.sent;
      sent->count = 0;
      sent->total_microtokens = 0;
    }
}

/* Schedules the next tick of a process. */
static void
schedule_tick (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  int64_t wakeup_us = jd_rate_limiter_next_wakeup_us (process->limiter);
  if (wakeup_us == INT64_MAX)
    return;
  int64_t at_us = fleet->now_us + MAX (wakeup_us - now_us, 1);
  if (process->tick_at_us > fleet->now_us && process->tick_at_us <= at_us)
    return;
  process->tick_at_us = at_us;
  schedule (fleet, at_us, (event_t){ .kind = EVENT_TICK, .process = process->index });
}

/* Runs one event in a process with a reading of its clock at a true time. */
static void
execute (process_t *process, const event_t *event, int64_t read_at_us)
{
  int64_t now_us = reading (process, read_at_us);
  process->read_at_us = read_at_us;
  switch (event->kind)
    {
    case EVENT_REQUEST:
      request (process, event, now_us);
      break;
    case EVENT_ASK:
    case EVENT_GRANT:
      hand_over (process, event, now_us);
      jd_rate_limiter_tick (process->limiter, now_us);
      break;
    case EVENT_RENEW:
      renew (process, now_us);
      break;
    case EVENT_CONFIG:
      if (event->request_id > process->config_version)
        apply_config (process, event->request_id, now_us);
      break;
    default:
      jd_rate_limiter_tick (process->limiter, now_us);
      break;
    }
  if (process->fleet->options.off == JD_FLEET_SENDER_DOES_NOT_COUNT)
    forget_sent (process);
  schedule_tick (process, now_us);
}

/* Pauses a process, with or without an event whose clock reading is already made. */
static void
pause_process (process_t *process, event_t *event, int64_t duration_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  process->interrupted = event;
  process->interrupted_read_us = fleet->now_us;
  process->busy_until_us = fleet->now_us + duration_us;
  schedule (fleet, process->busy_until_us,
            (event_t){ .kind = EVENT_RESUME, .process = process->index });
}

/* Continues a paused process: first the interrupted event with its old reading, then
 * what came in meanwhile with new ones. */
static void
resume (process_t *process)
{
  jd_rate_fleet_t *fleet = process->fleet;
  event_t *interrupted = g_steal_pointer (&process->interrupted);
  if (interrupted)
    execute (process, interrupted, process->interrupted_read_us);
  g_free (interrupted);
  while (!g_queue_is_empty (&process->backlog))
    {
      event_t *event = g_queue_pop_head (&process->backlog);
      execute (process, event, fleet->now_us);
      g_free (event);
    }
}

/* Gives an event to a process, which may be paused or pause right now. */
static void
deliver (process_t *process, const event_t *event)
{
  jd_rate_fleet_t *fleet = process->fleet;
  if (!process->alive)
    return;
  if (process->busy_until_us > fleet->now_us)
    {
      g_queue_push_tail (&process->backlog, g_memdup2 (event, sizeof (*event)));
      return;
    }
  if (chance (fleet, fleet->options.trouble.paused / 50))
    {
      event_t *interrupted = g_memdup2 (event, sizeof (*event));
      pause_process (process, interrupted,
                     between (fleet, 1, fleet->options.trouble.longest_pause_us));
      return;
    }
  execute (process, event, fleet->now_us);
}

/* Delivers a message to every process that has a seat's identity, and a request to one
 * of them. */
static void
deliver_to_seat (jd_rate_fleet_t *fleet, const event_t *event)
{
  process_t *chosen = NULL;
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      process_t *process = process_at (fleet, i);
      if (!process->alive || process->seat != event->seat)
        continue;
      if (event->kind != EVENT_REQUEST)
        deliver (process, event);
      else if (!chosen || chance (fleet, 0.5))
        chosen = process;
    }
  if (chosen)
    deliver (chosen, event);
}

/* Publishes another configuration: either the zone weights change and the sum stays, or
 * one organisation's rate and burst change. */
static void
publish (jd_rate_fleet_t *fleet)
{
  config_t config = g_array_index (fleet->configs, config_t, fleet->configs->len - 1);
  const jd_rate_fleet_options_t *options = &fleet->options;
  uint32_t first = (uint32_t)between (fleet, 0, options->zones);
  uint32_t second = (first + 1) % options->zones;
  uint32_t which = (uint32_t)between (fleet, 0, options->organisation_count);
  bool shift = chance (fleet, 0.6);
  fleet->published_at_us = fleet->now_us;
  if (shift)
    {
      double moved = config.weights[first] * 0.8;
      config.weights[first] -= moved;
      config.weights[second] += moved;
    }
  else
    {
      double before = config.scale[which];
      config.scale[which] = before < 1 ? 1 : 0.3;
      int64_t in_force_us =
          before < 1 ? options->settings.raise_delay_us * 999 / 1000
                     : LEARN_US + LEASE_US + 2 * options->settings.transfer_lifetime_us;
      double rate = options->organisations[which].rate_per_s * config.scale[which];
      double burst = options->organisations[which].burst * config.scale[which];
      jd_rate_history_bound (&fleet->admitted[which],
                             (jd_rate_bound_t){ fleet->now_us + in_force_us,
                                                (int64_t)(rate * JD_MICROTOKENS),
                                                (int64_t)(burst * JD_MICROTOKENS) });
    }
  g_array_append_val (fleet->configs, config);
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    schedule (fleet, fleet->now_us + between (fleet, 0, LEARN_US),
              (event_t){ .kind = EVENT_CONFIG,
                         .process = i,
                         .request_id = fleet->configs->len - 1 });
}

/* Cuts some seats off from the others for a while; they also lose their lease. */
static void
partition (jd_rate_fleet_t *fleet)
{
  for (uint32_t i = 0; i < seat_count (fleet); i++)
    fleet->cut[i] = chance (fleet, 0.4);
  fleet->healed_at_us = fleet->now_us + between (fleet, 200000, 4000000);
}

/* Causes faults of processes, network and configuration at random. A process that
 * starts while new zone weights spread would use them early (docs/decisions/0004), so
 * none starts then. */
static void
cause_faults (jd_rate_fleet_t *fleet)
{
  schedule (fleet, fleet->now_us + FAULT_STEP_US, (event_t){ .kind = EVENT_FAULTS });
  const jd_fleet_trouble_t *trouble = &fleet->options.trouble;
  if (trouble->reconfigured && fleet->now_us - fleet->published_at_us > PUBLISH_EVERY_US)
    publish (fleet);
  if (fleet->healed_at_us && fleet->now_us >= fleet->healed_at_us)
    {
      memset (fleet->cut, 0, sizeof (fleet->cut));
      fleet->healed_at_us = 0;
    }
  else if (!fleet->healed_at_us && chance (fleet, trouble->partitioned))
    partition (fleet);
  uint32_t index = (uint32_t)between (fleet, 0, fleet->processes->len);
  process_t *process = process_at (fleet, index);
  bool running = process->alive && process->busy_until_us <= fleet->now_us;
  if (running && chance (fleet, trouble->paused))
    pause_process (process, NULL, between (fleet, 1, trouble->longest_pause_us));
  else if (running && !process->superseded && chance (fleet, trouble->restarted) &&
           fleet->now_us - fleet->published_at_us > 6000000)
    {
      process->superseded = true;
      if (chance (fleet, 0.5))
        process->alive = false;
      start_process (fleet, process->seat);
    }
}

/* Creates a fleet with all seats running and no tokens. */
jd_rate_fleet_t *
jd_rate_fleet_new (const jd_rate_fleet_options_t *options)
{
  jd_rate_fleet_t *fleet = g_new0 (jd_rate_fleet_t, 1);
  fleet->options = *options;
  if (options->off == JD_FLEET_RAISE_AT_ONCE)
    fleet->options.settings.raise_delay_us = 0;
  fleet->events = g_sequence_new (g_free);
  fleet->philox = (jd_philox_t){ .seed = options->seed };
  fleet->rng = jd_philox_rng (&fleet->philox);
  fleet->processes = g_ptr_array_new_with_free_func (free_process);
  fleet->configs = g_array_new (FALSE, FALSE, sizeof (config_t));
  config_t config = { 0 };
  for (uint32_t i = 0; i < options->zones; i++)
    config.weights[i] = 1.0 / options->zones;
  for (uint32_t i = 0; i < options->organisation_count; i++)
    {
      config.scale[i] = 1;
      jd_rate_bound_t bound = {
        0, (int64_t)(options->organisations[i].rate_per_s * JD_MICROTOKENS),
        (int64_t)(options->organisations[i].burst * JD_MICROTOKENS)
      };
      jd_rate_history_init (&fleet->admitted[i]);
      jd_rate_history_init (&fleet->started[i]);
      jd_rate_history_bound (&fleet->admitted[i], bound);
      bound.burst += bound.rate_per_s * WORK_BOUND_US / JD_US_PER_S;
      jd_rate_history_bound (&fleet->started[i], bound);
    }
  g_array_append_val (fleet->configs, config);
  memset (fleet->shares, -1, sizeof (fleet->shares));
  for (uint32_t seat = 0; seat < seat_count (fleet); seat++)
    start_process (fleet, seat);
  schedule (fleet, FAULT_STEP_US, (event_t){ .kind = EVENT_FAULTS });
  return fleet;
}

/* Frees a fleet. */
void
jd_rate_fleet_free (jd_rate_fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->options.organisation_count; i++)
    {
      jd_rate_history_clear (&fleet->admitted[i]);
      jd_rate_history_clear (&fleet->started[i]);
    }
  g_ptr_array_unref (fleet->processes);
  g_array_unref (fleet->configs);
  g_sequence_free (fleet->events);
  g_free (fleet);
}

/* Schedules a request. */
void
jd_rate_fleet_request (jd_rate_fleet_t *fleet, int64_t at_us, uint32_t seat,
                       uint32_t organisation, uint64_t request_id)
{
  schedule (fleet, at_us,
            (event_t){ .kind = EVENT_REQUEST,
                       .seat = seat,
                       .organisation = organisation,
                       .request_id = request_id });
}

/* Ends all processes of a seat for good; their waiting requests get no decision. */
void
jd_rate_fleet_lose_host (jd_rate_fleet_t *fleet, uint32_t seat)
{
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      if (process_at (fleet, i)->seat == seat)
        process_at (fleet, i)->alive = false;
    }
}

/* Runs one event. */
static void
run_event (jd_rate_fleet_t *fleet, const event_t *event)
{
  if (event->kind == EVENT_FAULTS)
    cause_faults (fleet);
  else if (event->kind <= EVENT_GRANT)
    deliver_to_seat (fleet, event);
  else if (event->kind != EVENT_RESUME)
    deliver (process_at (fleet, event->process), event);
  else if (process_at (fleet, event->process)->alive)
    resume (process_at (fleet, event->process));
}

/* Runs until a true time. */
void
jd_rate_fleet_run (jd_rate_fleet_t *fleet, int64_t until_us)
{
  while (!g_sequence_is_empty (fleet->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (fleet->events);
      const event_t *event = g_sequence_get (first);
      if (event->at_us > until_us)
        break;
      fleet->now_us = event->at_us;
      run_event (fleet, event);
      g_sequence_remove (first);
    }
  fleet->now_us = until_us;
}

/* Checks an organisation: its admissions by the clock readings that made them, or the
 * true starts of its work, with a burst that is wider by the work bound, and the highest
 * rate of the run. */
jd_rate_verdict_t
jd_rate_fleet_check (jd_rate_fleet_t *fleet, uint32_t organisation, bool starts)
{
  return jd_rate_history_check (starts ? &fleet->started[organisation]
                                       : &fleet->admitted[organisation]);
}

/* Returns how many messages were sent. */
uint64_t
jd_rate_fleet_messages (const jd_rate_fleet_t *fleet)
{
  return fleet->messages;
}
