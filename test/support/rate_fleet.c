#include "support/rate_fleet.h"

#include <string.h>

#include "base/clock.h"

/* Values of docs/design.md, 4.1. */
#define LEASE_DURATION_US 800000
#define RENEW_INTERVAL_US 200000
#define WORK_BOUND_US 500000

#define FAULT_INTERVAL_US 50000
#define MAX_CONFIG_DELAY_US 3000000
#define PUBLISH_INTERVAL_US 9000000
#define SHARES_MAX 64
#define MEMBERS_MAX 256
#define ORGANISATION_SHIFT 48

typedef enum event_kind
{
  EVENT_REQUEST,
  EVENT_TOKEN_REQUEST,
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
  uint64_t sequence; /* Events of the same time run in order of insertion. */
  event_kind_t kind;
  uint32_t member;  /* Member that receives a request or a message. */
  uint32_t process; /* Process that receives an event of another kind. */
  uint32_t from;    /* Member that sent the message. */
  uint32_t organisation;
  uint64_t request_id; /* Configuration version for EVENT_CONFIG. */
  bool is_duplicate;   /* Second copy of a duplicated message. */
  jd_token_request_t token_request;
  jd_token_grant_t grant;
} event_t;

typedef struct config
{
  double weights[JD_FLEET_MAX_ZONES];
  double rate_scale[JD_FLEET_MAX_ORGANISATIONS];
} config_t;

typedef struct process
{
  jd_rate_fleet_t *fleet;
  jd_rate_limiter_t *limiter;
  jd_philox_t nonces;
  uint32_t index;
  uint32_t member;
  bool is_alive;
  bool is_superseded; /* A newer process runs under the same member name. */
  int64_t clock_offset_us;
  int64_t drift_ppm;
  int64_t paused_until_us;
  int64_t lease_end_us; /* Upper bound, in simulated time. */
  int64_t next_tick_us;
  int64_t read_at_us; /* Simulated time when the current event read the clock. */
  uint64_t config_version;
  event_t *interrupted; /* Event that had read the clock when the process paused. */
  int64_t interrupted_read_us;
  GQueue backlog;
} process_t;

typedef struct share
{
  int32_t owner; /* Index of a process; -1: none. */
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
  int64_t partition_end_us;
  bool is_partitioned[MEMBERS_MAX]; /* By member: side of the network partition. */
  jd_rate_history_t admitted[JD_FLEET_MAX_ORGANISATIONS];
  jd_rate_history_t started[JD_FLEET_MAX_ORGANISATIONS];
  int64_t now_us;
  uint64_t messages;
};

static bool
random_bool (jd_rate_fleet_t *fleet, double probability)
{
  return jd_rng_unit (&fleet->rng) < probability;
}

/* Returns a random number in [low, high). */
static int64_t
random_between (jd_rate_fleet_t *fleet, int64_t low, int64_t high)
{
  return low + (int64_t)jd_rng_below (&fleet->rng, (uint64_t)(high - low));
}

static process_t *
process_at (const jd_rate_fleet_t *fleet, uint32_t index)
{
  return fleet->processes->pdata[index];
}

/* Returns the number of members of all zones. */
static uint32_t
member_count (const jd_rate_fleet_t *fleet)
{
  return fleet->options.zones * fleet->options.members_per_zone;
}

/* Returns the time on the clock of a process at a simulated time. */
static int64_t
clock_reading_us (const process_t *process, int64_t simulated_us)
{
  return process->clock_offset_us + simulated_us +
         simulated_us * process->drift_ppm / JD_US_PER_S;
}

/* Orders events by time, then by insertion. */
static gint
compare_events (gconstpointer a, gconstpointer b, gpointer context)
{
  const event_t *left = a;
  const event_t *right = b;
  if (left->at_us != right->at_us)
    return left->at_us < right->at_us ? -1 : 1;
  return left->sequence < right->sequence ? -1 : 1;
}

static void
schedule (jd_rate_fleet_t *fleet, int64_t at_us, event_t event)
{
  event.at_us = at_us;
  event.sequence = fleet->next_sequence++;
  g_sequence_insert_sorted (fleet->events, g_memdup2 (&event, sizeof (event)),
                            compare_events, NULL);
}

/* Sends a message to a peer, subject to the injected network faults. */
static void
send_message (process_t *process, const char *peer, event_t event)
{
  jd_rate_fleet_t *fleet = process->fleet;
  event.member = (uint32_t)g_ascii_strtoull (peer, NULL, 10);
  event.from = process->member;
  uint32_t per_zone = fleet->options.members_per_zone;
  bool is_same_zone = event.member / per_zone == process->member / per_zone;
  int64_t one_way_us = is_same_zone ? fleet->options.cross_zone_delay_us / 2
                                    : fleet->options.cross_zone_delay_us;
  const jd_fleet_faults_t *faults = &fleet->options.faults;
  fleet->messages++;
  if (fleet->is_partitioned[event.member] != fleet->is_partitioned[process->member])
    return;
  if (random_bool (fleet, faults->loss_probability))
    return;
  int copies = random_bool (fleet, faults->duplicate_probability) ? 2 : 1;
  for (int i = 0; i < copies; i++)
    {
      int64_t delay_us = one_way_us + random_between (fleet, 0, one_way_us / 4 + 1);
      if (random_bool (fleet, faults->slow_probability))
        delay_us += random_between (fleet, 0, fleet->options.settings.transfer_ttl_us);
      if (random_bool (fleet, faults->late_probability))
        delay_us += random_between (fleet, 0, 1500000);
      event.is_duplicate = i > 0;
      schedule (fleet, fleet->now_us + delay_us, event);
    }
}

/* Callback of the rate limiter. */
static void
send_token_request (void *context, const char *peer,
                    const jd_token_request_t *token_request)
{
  send_message (
      context, peer,
      (event_t){ .kind = EVENT_TOKEN_REQUEST, .token_request = *token_request });
}

/* Callback of the rate limiter. */
static void
send_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
  send_message (context, peer, (event_t){ .kind = EVENT_GRANT, .grant = *grant });
}

/* Callback of the rate limiter; records the decision on a request, whose id contains the
 * organisation. An admission counts at the time when the process read its clock. Work
 * that a pause delays by more than WORK_BOUND_US is not started, because its receiver
 * refuses it. */
static void
on_decided (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
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
  if (fleet->options.on_decision)
    fleet->options.on_decision (fleet->options.context,
                                request_id - (organisation << ORGANISATION_SHIFT),
                                admitted, fleet->now_us);
}

/* Sets the organisation rates of a configuration version at a process. */
static void
apply_config (process_t *process, uint64_t version, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  const jd_rate_fleet_options_t *options = &fleet->options;
  const config_t *config = &g_array_index (fleet->configs, config_t, version);
  double weight = config->weights[process->member / options->members_per_zone];
  jd_organisation_rate_t rates[JD_FLEET_MAX_ORGANISATIONS];
  char names[JD_FLEET_MAX_ORGANISATIONS][8];
  for (uint32_t i = 0; i < options->organisation_count; i++)
    {
      const jd_fleet_organisation_t *organisation = &options->organisations[i];
      g_snprintf (names[i], sizeof (names[i]), "%u", i);
      rates[i] = (jd_organisation_rate_t){
        names[i], jd_share_rate_of (organisation->rate_per_s * config->rate_scale[i],
                                    organisation->burst * config->rate_scale[i], weight,
                                    options->settings.shares_per_zone)
      };
    }
  process->config_version = version;
  jd_rate_limiter_set_organisations (process->limiter, now_us, rates,
                                     options->organisation_count);
}

/* Sets the peers of a process: the members that follow its own position in each zone. */
static void
apply_peers (process_t *process, int64_t now_us)
{
  const jd_rate_fleet_options_t *options = &process->fleet->options;
  uint32_t per_zone = options->members_per_zone;
  uint32_t zone = process->member / per_zone;
  uint32_t peers_per_zone = options->peers_per_zone ? options->peers_per_zone : per_zone;
  jd_token_peer_t peers[MEMBERS_MAX] = { 0 };
  uint32_t count = 0;
  for (uint32_t i = 0; i < options->zones * peers_per_zone; i++)
    {
      uint32_t member = i / peers_per_zone * per_zone +
                        (process->member + 1 + i % peers_per_zone) % per_zone;
      if (member == process->member)
        continue;
      g_snprintf (peers[count].name, sizeof (peers[count].name), "%u", member);
      peers[count].owned_shares = -1;
      peers[count++].same_zone = i / peers_per_zone == zone;
    }
  jd_rate_limiter_set_peers (process->limiter, now_us, peers, count);
}

/* Starts a process of a member without tokens and shares, and with a clock of its own. */
static void
start_process (jd_rate_fleet_t *fleet, uint32_t member)
{
  process_t *process = g_new0 (process_t, 1);
  process->fleet = fleet;
  process->member = member;
  process->index = fleet->processes->len;
  process->is_alive = true;
  process->nonces =
      (jd_philox_t){ .seed = fleet->options.seed, .stream = process->index + 1 };
  process->clock_offset_us = random_between (fleet, 0, 1000000000);
  process->drift_ppm =
      (int64_t)((jd_rng_unit (&fleet->rng) * 2 - 1) * fleet->options.max_drift_ppm);
  process->next_tick_us = INT64_MAX;
  process->lease_end_us = -1;
  g_queue_init (&process->backlog);
  jd_rate_actions_t actions = { send_token_request, send_grant, on_decided, process };
  process->limiter = jd_rate_limiter_new (&fleet->options.settings, &actions,
                                          jd_philox_rng (&process->nonces));
  g_ptr_array_add (fleet->processes, process);
  int64_t now_us = clock_reading_us (process, fleet->now_us);
  apply_config (process, fleet->configs->len - 1, now_us);
  apply_peers (process, now_us);
  schedule (fleet, fleet->now_us + random_between (fleet, 0, RENEW_INTERVAL_US),
            (event_t){ .kind = EVENT_RENEW, .process = process->index });
}

static void
free_process (void *data)
{
  process_t *process = data;
  jd_rate_limiter_free (process->limiter);
  g_queue_clear_full (&process->backlog, g_free);
  g_free (process->interrupted);
  g_free (process);
}

/* Frees each share whose owner's lease has ended; it can be acquired after the takeover
 * gap. With the gap switched off, also frees shares whose owner is superseded, paused or
 * partitioned, and all of them can be acquired at once. */
static void
release_shares (jd_rate_fleet_t *fleet, uint32_t zone)
{
  bool skips_gap = fleet->options.disabled_mechanism == JD_FLEET_MECHANISM_TAKEOVER_GAP;
  for (uint32_t i = 0; i < fleet->options.settings.shares_per_zone; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      if (share->owner < 0)
        continue;
      const process_t *owner = process_at (fleet, (uint32_t)share->owner);
      bool may_be_down = owner->is_superseded || owner->paused_until_us > fleet->now_us ||
                         fleet->is_partitioned[owner->member];
      if (fleet->now_us <= owner->lease_end_us && !(skips_gap && may_be_down))
        continue;
      share->owner = -1;
      share->free_at_us = skips_gap
                              ? fleet->now_us
                              : owner->lease_end_us + fleet->options.takeover_gap_us;
    }
}

/* Makes a process acquire free shares up to its equal part of the zone and give up shares
 * above it. Returns how many shares it owns. */
static uint32_t
adjust_shares (process_t *process)
{
  jd_rate_fleet_t *fleet = process->fleet;
  uint32_t zone = process->member / fleet->options.members_per_zone;
  uint32_t count = fleet->options.settings.shares_per_zone;
  uint32_t live_count = 0;
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      const process_t *other = process_at (fleet, i);
      live_count += other->is_alive && other->lease_end_us >= fleet->now_us &&
                    other->member / fleet->options.members_per_zone == zone;
    }
  uint32_t max_owned = (count + live_count - 1) / MAX (live_count, 1);
  release_shares (fleet, zone);
  uint32_t owned = 0;
  for (uint32_t i = 0; i < count; i++)
    owned += fleet->shares[zone][i].owner == (int32_t)process->index;
  for (uint32_t i = 0; i < count; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      bool is_owner = share->owner == (int32_t)process->index;
      if (is_owner && owned > max_owned)
        {
          share->owner = -1;
          share->free_at_us = fleet->now_us + fleet->options.takeover_gap_us;
          owned--;
        }
      else if (share->owner < 0 && share->free_at_us <= fleet->now_us &&
               owned < max_owned && process->read_at_us == fleet->now_us)
        {
          share->owner = (int32_t)process->index;
          owned++;
        }
    }
  return owned;
}

/* Makes a process give up all shares. Other processes may acquire them without a takeover
 * gap as soon as the grants that the process sent have expired. */
static void
announce_release (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  uint32_t zone = process->member / fleet->options.members_per_zone;
  jd_rate_limiter_set_shares (process->limiter, now_us, 0, now_us);
  int64_t current_us = clock_reading_us (process, fleet->now_us);
  int64_t release_us = jd_rate_limiter_release_at_us (process->limiter);
  int64_t wait_us = release_us > current_us ? release_us - current_us + 100 : 0;
  for (uint32_t i = 0; i < fleet->options.settings.shares_per_zone; i++)
    {
      share_t *share = &fleet->shares[zone][i];
      if (share->owner == (int32_t)process->index)
        *share = (share_t){ -1, fleet->now_us + wait_us };
    }
}

/* Renews the lease of a process and adjusts its shares, unless it is partitioned or
 * superseded. At random, the process then gives up all its shares. */
static void
renew (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  schedule (fleet, fleet->now_us + RENEW_INTERVAL_US,
            (event_t){ .kind = EVENT_RENEW, .process = process->index });
  if (process->is_superseded || fleet->is_partitioned[process->member])
    return;
  release_shares (fleet, process->member / fleet->options.members_per_zone);
  /* The bound allows for a clock that is up to 0.05 % slow. */
  process->lease_end_us =
      process->read_at_us + LEASE_DURATION_US + LEASE_DURATION_US / 2000;
  uint32_t owned = adjust_shares (process);
  bool never_ends = fleet->options.disabled_mechanism == JD_FLEET_MECHANISM_LEASE_END;
  jd_rate_limiter_set_shares (process->limiter, now_us, owned,
                              never_ends ? INT64_MAX : now_us + LEASE_DURATION_US);
  if (random_bool (fleet, fleet->options.faults.restart_probability))
    announce_release (process, now_us);
}

/* Passes a message to the rate limiter. If the limiter's check of late or of duplicate
 * grants is switched off, credits a grant that the check has refused. */
static void
pass_to_limiter (process_t *process, const event_t *event, int64_t now_us)
{
  char from[16];
  g_snprintf (from, sizeof (from), "%u", event->from);
  if (event->kind == EVENT_TOKEN_REQUEST)
    {
      jd_rate_limiter_on_token_request (process->limiter, from, &event->token_request);
      return;
    }
  jd_rate_limiter_on_token_grant (process->limiter, from, &event->grant);
  const jd_rate_settings_t *settings = &process->fleet->options.settings;
  jd_fleet_mechanism_t disabled = process->fleet->options.disabled_mechanism;
  bool is_late = now_us - event->grant.echoed_sent_at_us >= settings->transfer_ttl_us;
  if ((disabled == JD_FLEET_MECHANISM_DUPLICATE_GRANT_CHECK && event->is_duplicate) ||
      (disabled == JD_FLEET_MECHANISM_LATE_GRANT_CHECK && is_late &&
       !event->is_duplicate))
    {
      jd_organisation_limit_t *limit =
          jd_rate_limiter_find (process->limiter, event->grant.organisation);
      jd_rate_share_advance (&limit->share, now_us);
      jd_rate_share_credit (&limit->share, event->grant.amount_microtokens,
                            now_us + settings->transfer_ttl_us);
    }
}

static void
request_admission (process_t *process, const event_t *event, int64_t now_us)
{
  char name[16];
  g_snprintf (name, sizeof (name), "%u", event->organisation);
  uint64_t id = event->request_id + ((uint64_t)event->organisation << ORGANISATION_SHIFT);
  jd_admission_t result = jd_rate_limiter_request (process->limiter, now_us, id, name,
                                                   now_us + WORK_BOUND_US);
  if (result != JD_ADMISSION_WAITING)
    on_decided (process, id, result == JD_ADMISSION_ADMITTED, now_us);
}

/* Clears the records of sent grants, for runs in which counting them is switched off. */
static void
clear_sent_grants (process_t *process)
{
  for (uint32_t i = 0; i < process->fleet->options.organisation_count; i++)
    {
      char name[16];
      g_snprintf (name, sizeof (name), "%u", i);
      jd_token_transfers_t *sent =
          &jd_rate_limiter_find (process->limiter, name)->share.sent;
      sent->count = 0;
      sent->total_microtokens = 0;
    }
}

/* Schedules the next tick of a process unless an earlier one is pending. */
static void
schedule_tick (process_t *process, int64_t now_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  int64_t wakeup_us = jd_rate_limiter_next_wakeup_us (process->limiter);
  if (wakeup_us == INT64_MAX)
    return;
  int64_t at_us = fleet->now_us + MAX (wakeup_us - now_us, 1);
  if (process->next_tick_us > fleet->now_us && process->next_tick_us <= at_us)
    return;
  process->next_tick_us = at_us;
  schedule (fleet, at_us, (event_t){ .kind = EVENT_TICK, .process = process->index });
}

/* Runs an event at a process whose clock is read at the simulated time read_at_us. */
static void
execute (process_t *process, const event_t *event, int64_t read_at_us)
{
  int64_t now_us = clock_reading_us (process, read_at_us);
  process->read_at_us = read_at_us;
  switch (event->kind)
    {
    case EVENT_REQUEST:
      request_admission (process, event, now_us);
      break;
    case EVENT_TOKEN_REQUEST:
    case EVENT_GRANT:
      pass_to_limiter (process, event, now_us);
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
  if (process->fleet->options.disabled_mechanism ==
      JD_FLEET_MECHANISM_SENT_GRANT_COUNTING)
    clear_sent_grants (process);
  schedule_tick (process, now_us);
}

/* Pauses a process and takes ownership of event, which has read the clock already; NULL
 * if no event is interrupted. */
static void
pause_process (process_t *process, event_t *event, int64_t duration_us)
{
  jd_rate_fleet_t *fleet = process->fleet;
  process->interrupted = event;
  process->interrupted_read_us = fleet->now_us;
  process->paused_until_us = fleet->now_us + duration_us;
  schedule (fleet, process->paused_until_us,
            (event_t){ .kind = EVENT_RESUME, .process = process->index });
}

/* Resumes a paused process: runs the interrupted event with its old clock reading, then
 * the events that arrived during the pause with new readings. */
static void
resume_process (process_t *process)
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

/* Delivers an event to a process: queues it if the process is paused, and at random
 * pauses the process after the event has read the clock. */
static void
deliver (process_t *process, const event_t *event)
{
  jd_rate_fleet_t *fleet = process->fleet;
  if (!process->is_alive)
    return;
  if (process->paused_until_us > fleet->now_us)
    {
      g_queue_push_tail (&process->backlog, g_memdup2 (event, sizeof (*event)));
      return;
    }
  if (random_bool (fleet, fleet->options.faults.pause_probability / 50))
    {
      event_t *interrupted = g_memdup2 (event, sizeof (*event));
      pause_process (process, interrupted,
                     random_between (fleet, 1, fleet->options.faults.max_pause_us));
      return;
    }
  execute (process, event, fleet->now_us);
}

/* Delivers a message to every process of a member, and a request to one of them. */
static void
deliver_to_member (jd_rate_fleet_t *fleet, const event_t *event)
{
  process_t *chosen = NULL;
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      process_t *process = process_at (fleet, i);
      if (!process->is_alive || process->member != event->member)
        continue;
      if (event->kind != EVENT_REQUEST)
        deliver (process, event);
      else if (!chosen || random_bool (fleet, 0.5))
        chosen = process;
    }
  if (chosen)
    deliver (chosen, event);
}

/* Publishes a new configuration: either moves weight from one zone to another, or changes
 * the rate and burst of one organisation. */
static void
publish_config (jd_rate_fleet_t *fleet)
{
  config_t config = g_array_index (fleet->configs, config_t, fleet->configs->len - 1);
  const jd_rate_fleet_options_t *options = &fleet->options;
  uint32_t first = (uint32_t)random_between (fleet, 0, options->zones);
  uint32_t second = (first + 1) % options->zones;
  uint32_t organisation =
      (uint32_t)random_between (fleet, 0, options->organisation_count);
  bool changes_weights = random_bool (fleet, 0.6);
  fleet->published_at_us = fleet->now_us;
  if (changes_weights)
    {
      double moved_weight = config.weights[first] * 0.8;
      config.weights[first] -= moved_weight;
      config.weights[second] += moved_weight;
    }
  else
    {
      double old_scale = config.rate_scale[organisation];
      config.rate_scale[organisation] = old_scale < 1 ? 1 : 0.3;
      /* The bound changes at the earliest time of a raise, 0.1 % early for a fast clock,
       * or at the latest time of a reduction. */
      int64_t effective_delay_us = old_scale < 1
                                       ? options->settings.raise_delay_us * 999 / 1000
                                       : MAX_CONFIG_DELAY_US + LEASE_DURATION_US +
                                             2 * options->settings.transfer_ttl_us;
      double rate = options->organisations[organisation].rate_per_s *
                    config.rate_scale[organisation];
      double burst =
          options->organisations[organisation].burst * config.rate_scale[organisation];
      jd_rate_history_add_bound (&fleet->admitted[organisation],
                                 (jd_rate_bound_t){ fleet->now_us + effective_delay_us,
                                                    (int64_t)(rate * JD_MICROTOKENS),
                                                    (int64_t)(burst * JD_MICROTOKENS) });
    }
  g_array_append_val (fleet->configs, config);
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    schedule (fleet, fleet->now_us + random_between (fleet, 0, MAX_CONFIG_DELAY_US),
              (event_t){ .kind = EVENT_CONFIG,
                         .process = i,
                         .request_id = fleet->configs->len - 1 });
}

/* Partitions random members from the others for 0.2 s to 4 s, during which they can't
 * renew their lease. */
static void
start_partition (jd_rate_fleet_t *fleet)
{
  for (uint32_t i = 0; i < member_count (fleet); i++)
    fleet->is_partitioned[i] = random_bool (fleet, 0.4);
  fleet->partition_end_us = fleet->now_us + random_between (fleet, 200000, 4000000);
}

/* Injects random faults of processes, network and configuration. No process restarts
 * within 6 s of a publication: it would use the new zone weights earlier than the others
 * (docs/decisions/0004). */
static void
inject_faults (jd_rate_fleet_t *fleet)
{
  schedule (fleet, fleet->now_us + FAULT_INTERVAL_US, (event_t){ .kind = EVENT_FAULTS });
  const jd_fleet_faults_t *faults = &fleet->options.faults;
  if (faults->changes_config &&
      fleet->now_us - fleet->published_at_us > PUBLISH_INTERVAL_US)
    publish_config (fleet);
  if (fleet->partition_end_us && fleet->now_us >= fleet->partition_end_us)
    {
      memset (fleet->is_partitioned, 0, sizeof (fleet->is_partitioned));
      fleet->partition_end_us = 0;
    }
  else if (!fleet->partition_end_us && random_bool (fleet, faults->partition_probability))
    start_partition (fleet);
  uint32_t index = (uint32_t)random_between (fleet, 0, fleet->processes->len);
  process_t *process = process_at (fleet, index);
  bool running = process->is_alive && process->paused_until_us <= fleet->now_us;
  if (running && random_bool (fleet, faults->pause_probability))
    pause_process (process, NULL, random_between (fleet, 1, faults->max_pause_us));
  else if (running && !process->is_superseded &&
           random_bool (fleet, faults->restart_probability) &&
           fleet->now_us - fleet->published_at_us > 6000000)
    {
      process->is_superseded = true;
      if (random_bool (fleet, 0.5))
        process->is_alive = false;
      start_process (fleet, process->member);
    }
}

/* Creates a fleet with one running process per member and no tokens. */
jd_rate_fleet_t *
jd_rate_fleet_new (const jd_rate_fleet_options_t *options)
{
  jd_rate_fleet_t *fleet = g_new0 (jd_rate_fleet_t, 1);
  fleet->options = *options;
  if (options->disabled_mechanism == JD_FLEET_MECHANISM_RAISE_DELAY)
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
      config.rate_scale[i] = 1;
      jd_rate_bound_t bound = {
        0, (int64_t)(options->organisations[i].rate_per_s * JD_MICROTOKENS),
        (int64_t)(options->organisations[i].burst * JD_MICROTOKENS)
      };
      jd_rate_history_init (&fleet->admitted[i]);
      jd_rate_history_init (&fleet->started[i]);
      jd_rate_history_add_bound (&fleet->admitted[i], bound);
      bound.burst_microtokens += bound.microtokens_per_s * WORK_BOUND_US / JD_US_PER_S;
      jd_rate_history_add_bound (&fleet->started[i], bound);
    }
  g_array_append_val (fleet->configs, config);
  memset (fleet->shares, -1, sizeof (fleet->shares));
  for (uint32_t member = 0; member < member_count (fleet); member++)
    start_process (fleet, member);
  schedule (fleet, FAULT_INTERVAL_US, (event_t){ .kind = EVENT_FAULTS });
  return fleet;
}

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

/* Schedules a request at a member for the simulated time at_us. */
void
jd_rate_fleet_request (jd_rate_fleet_t *fleet, int64_t at_us, uint32_t member,
                       uint32_t organisation, uint64_t request_id)
{
  schedule (fleet, at_us,
            (event_t){ .kind = EVENT_REQUEST,
                       .member = member,
                       .organisation = organisation,
                       .request_id = request_id });
}

/* Ends all processes of a member for the rest of the run; their waiting requests get no
 * decision. */
void
jd_rate_fleet_end_member (jd_rate_fleet_t *fleet, uint32_t member)
{
  for (uint32_t i = 0; i < fleet->processes->len; i++)
    {
      if (process_at (fleet, i)->member == member)
        process_at (fleet, i)->is_alive = false;
    }
}

static void
run_event (jd_rate_fleet_t *fleet, const event_t *event)
{
  if (event->kind == EVENT_FAULTS)
    inject_faults (fleet);
  else if (event->kind <= EVENT_GRANT)
    deliver_to_member (fleet, event);
  else if (event->kind != EVENT_RESUME)
    deliver (process_at (fleet, event->process), event);
  else if (process_at (fleet, event->process)->is_alive)
    resume_process (process_at (fleet, event->process));
}

/* Runs all events up to and including the simulated time until_us. */
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

/* Checks the rate of an organisation: its admissions at the times when the processes read
 * their clocks, or the starts of its work. The bound on starts adds WORK_BOUND_US of the
 * configured rate to the burst and keeps that rate, which is the highest of the run. */
jd_rate_check_result_t
jd_rate_fleet_check (jd_rate_fleet_t *fleet, uint32_t organisation, bool checks_starts)
{
  return jd_rate_history_check (checks_starts ? &fleet->started[organisation]
                                              : &fleet->admitted[organisation]);
}

/* Counts every sent message once, also if it is lost or duplicated. */
uint64_t
jd_rate_fleet_message_count (const jd_rate_fleet_t *fleet)
{
  return fleet->messages;
}
