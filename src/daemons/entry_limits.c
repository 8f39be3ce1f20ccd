#include "daemons/entry_limits.h"

#include <string.h>

#include "base/log_event.h"
#include "limits/organisation_rates.h"
#include "limits/rate_counters.h"
#include "membership/lease_settings.h"

#define COUNTERS_INTERVAL_US (500 * JD_US_PER_MS)
/* Share ownership changes only with heartbeats, which are 200 ms apart. */
#define SHARE_REFRESH_INTERVAL_US (20 * JD_US_PER_MS)

struct jd_entry_limits
{
  jd_node_t *node;
  jd_config_store_t *store;
  const char *member;
  const char *zone;
  jd_limit_decided_t decided;
  void *context;
  jd_rate_limiter_t *limiter;
  uint32_t shares_per_zone;
  double zone_weight;
  uint32_t owned_shares;
  int64_t shares_refreshed_us;
  int64_t counters_updated_us;
  jd_counters_t *counters;
  gboolean releasing;
};

/* Token request callback of the limiter. */
static void
send_token_request (void *context, const char *peer, const jd_token_request_t *request)
{
  jd_entry_limits_t *limits = context;
  jd_message_t message = { .type = JD_MESSAGE_TOKEN_REQUEST, .token_request = *request };
  jd_node_send (limits->node, peer, &message);
}

/* Grant callback of the limiter. If the grant cannot be sent, its tokens are lost. */
static void
send_grant (void *context, const char *peer, const jd_token_grant_t *grant)
{
  jd_entry_limits_t *limits = context;
  jd_message_t message = { .type = JD_MESSAGE_TOKEN_GRANT, .token_grant = *grant };
  jd_node_send (limits->node, peer, &message);
}

/* Returns TRUE if work that was admitted at admitted_at_us may still be sent. A process
 * that paused after the admission would otherwise start the work in a later window. */
static gboolean
is_recent (const jd_entry_limits_t *limits, int64_t admitted_at_us)
{
  const jd_lease_settings_t lease = jd_lease_settings_default ();
  return jd_node_now_us (limits->node) - admitted_at_us < lease.work_bound_us;
}

/* Decision callback of the limiter; work admitted too long ago is refused. */
static void
on_decided (void *context, uint64_t request_id, bool admitted, int64_t decided_at_us)
{
  jd_entry_limits_t *limits = context;
  limits->decided (limits->context, request_id,
                   admitted && is_recent (limits, decided_at_us));
}

/* Creates a limiter without organisations and shares. Keeps member and zone, which must
 * outlive it. */
jd_entry_limits_t *
jd_entry_limits_new (jd_node_t *node, jd_config_store_t *store, const char *member,
                     const char *zone, jd_counters_t *counters,
                     jd_limit_decided_t decided, void *context)
{
  jd_entry_limits_t *limits = g_new0 (jd_entry_limits_t, 1);
  limits->node = node;
  limits->store = store;
  limits->member = member;
  limits->zone = zone;
  limits->counters = counters;
  limits->decided = decided;
  limits->context = context;
  jd_rate_settings_t settings = jd_rate_settings_default ();
  jd_rate_actions_t actions = { .send_token_request = send_token_request,
                                .send_grant = send_grant,
                                .decided = on_decided,
                                .context = limits };
  limits->limiter = jd_rate_limiter_new (&settings, &actions, jd_node_rng (node));
  return limits;
}

/* Frees the limiter without a decision for waiting requests. */
void
jd_entry_limits_free (jd_entry_limits_t *limits)
{
  if (!limits)
    return;
  jd_rate_limiter_free (limits->limiter);
  g_free (limits);
}

/* Sets the peers of the limiter: all other entries that can own shares. */
static void
apply_peers (jd_entry_limits_t *limits, const jd_fleet_record_t *fleet, int64_t now_us)
{
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (jd_token_peer_t));
  for (uint32_t i = 0; i < fleet->group_count; i++)
    {
      const jd_group_record_t *group = &fleet->groups[i];
      for (uint32_t j = 0; group->role == JD_ROLE_ENTRY && j < group->member_count; j++)
        {
          if (group->members[j].voting_only ||
              strcmp (group->members[j].name, limits->member) == 0)
            continue;
          jd_token_peer_t peer = { .same_zone = strcmp (group->zone, limits->zone) == 0,
                                   .owned_shares = -1 };
          g_strlcpy (peer.name, group->members[j].name, sizeof (peer.name));
          g_array_append_val (peers, peer);
        }
    }
  jd_rate_limiter_set_peers (limits->limiter, now_us, (jd_token_peer_t *)peers->data,
                             peers->len);
  g_array_free (peers, TRUE);
}

/* Sets the rate of one share for each organisation in the limiter. */
static void
apply_organisations (jd_entry_limits_t *limits, int64_t now_us)
{
  jd_organisation_record_t *record = jd_config_store_organisations (limits->store);
  if (!record)
    return;
  GArray *rates =
      jd_organisation_rates_new (record, limits->zone_weight, limits->shares_per_zone);
  jd_rate_limiter_set_organisations (
      limits->limiter, now_us, (const jd_organisation_rate_t *)rates->data, rates->len);
  g_array_free (rates, TRUE);
  jd_organisation_record_unref (record);
}

/* Applies the current fleet and organisation records; does nothing without a fleet. */
void
jd_entry_limits_reload (jd_entry_limits_t *limits)
{
  const jd_fleet_record_t *fleet = jd_node_fleet (limits->node);
  if (!fleet)
    return;
  const jd_zone_record_t *zone = jd_fleet_record_zone (fleet, limits->zone);
  limits->shares_per_zone = fleet->shares_per_zone;
  limits->zone_weight = zone ? zone->weight : 0;
  int64_t now_us = jd_node_now_us (limits->node);
  apply_peers (limits, fleet, now_us);
  apply_organisations (limits, now_us);
}

/* Requests one token for a request. If the result is JD_ADMISSION_WAITING, the decision
 * follows through the decided callback. */
jd_admission_t
jd_entry_limits_request_token (jd_entry_limits_t *limits, uint64_t request_id,
                               const char *organisation, int64_t deadline_us)
{
  int64_t now_us = jd_node_now_us (limits->node);
  jd_admission_t admission = jd_rate_limiter_request (limits->limiter, now_us, request_id,
                                                      organisation, deadline_us);
  if (admission == JD_ADMISSION_ADMITTED && !is_recent (limits, now_us))
    return JD_ADMISSION_REFUSED;
  return admission;
}

/* Removes a waiting request without a decision. */
void
jd_entry_limits_cancel (jd_entry_limits_t *limits, uint64_t request_id,
                        const char *organisation)
{
  jd_rate_limiter_cancel (limits->limiter, request_id, organisation);
}

/* Handles token requests and grants of peers; returns FALSE for other messages. */
gboolean
jd_entry_limits_on_message (jd_entry_limits_t *limits, const jd_message_t *message)
{
  if (message->type == JD_MESSAGE_TOKEN_REQUEST)
    jd_rate_limiter_on_token_request (limits->limiter, message->sender,
                                      &message->token_request);
  else if (message->type == JD_MESSAGE_TOKEN_GRANT)
    jd_rate_limiter_on_token_grant (limits->limiter, message->sender,
                                    &message->token_grant);
  else
    return FALSE;
  return TRUE;
}

/* Counts the owned shares and sets them in the limiter, valid until the first of them
 * expires. A process that releases its shares owns none. */
static void
refresh_shares (jd_entry_limits_t *limits, int64_t now_us)
{
  uint32_t owned = 0;
  int64_t valid_until_us = INT64_MAX;
  for (uint32_t i = 0; i < limits->shares_per_zone && !limits->releasing; i++)
    {
      char resource[JD_NAME_SIZE * 2];
      g_snprintf (resource, sizeof (resource), "share/%s/%u", limits->zone, i);
      int64_t until_us = jd_node_owned_until_us (limits->node, resource);
      if (until_us <= now_us)
        continue;
      owned++;
      valid_until_us = MIN (valid_until_us, until_us);
    }
  if (owned != limits->owned_shares)
    jd_log_event (G_LOG_LEVEL_INFO, "shares_owned", "shares=%u of=%u", owned,
                  limits->shares_per_zone);
  limits->owned_shares = owned;
  limits->shares_refreshed_us = now_us;
  if (now_us - limits->counters_updated_us >= COUNTERS_INTERVAL_US)
    {
      limits->counters_updated_us = now_us;
      jd_rate_counters_update (limits->limiter, now_us, limits->counters);
    }
  jd_rate_limiter_set_shares (limits->limiter, now_us, owned,
                              owned ? valid_until_us : now_us);
}

/* Refreshes the owned shares if the interval has passed, and runs the limiter. */
void
jd_entry_limits_tick (jd_entry_limits_t *limits)
{
  int64_t now_us = jd_node_now_us (limits->node);
  if (now_us - limits->shares_refreshed_us >= SHARE_REFRESH_INTERVAL_US)
    refresh_shares (limits, now_us);
  jd_rate_limiter_tick (limits->limiter, now_us);
}

/* Returns the time of the next tick that the limiter needs. */
int64_t
jd_entry_limits_next_wakeup_us (const jd_entry_limits_t *limits)
{
  return jd_rate_limiter_next_wakeup_us (limits->limiter);
}

/* Releases all shares. Returns when the tokens granted to peers have expired. */
int64_t
jd_entry_limits_release_shares (jd_entry_limits_t *limits)
{
  limits->releasing = TRUE;
  refresh_shares (limits, jd_node_now_us (limits->node));
  return jd_rate_limiter_release_at_us (limits->limiter);
}

/* Returns the number of shares that this entry owns. */
uint32_t
jd_entry_limits_owned_shares (const jd_entry_limits_t *limits)
{
  return limits->owned_shares;
}

/* Returns a number of microtokens as JSON in tokens. */
static json_t *
tokens_json (int64_t microtokens)
{
  return json_real ((double)microtokens / JD_MICROTOKENS);
}

/* Appends the state of each organisation for the /status route. */
void
jd_entry_limits_status (jd_entry_limits_t *limits, json_t *array)
{
  int64_t now_us = jd_node_now_us (limits->node);
  uint32_t count = jd_rate_limiter_organisation_count (limits->limiter);
  for (uint32_t i = 0; i < count; i++)
    {
      jd_rate_status_t status;
      if (!jd_rate_limiter_status (limits->limiter, now_us, i, &status))
        continue;
      json_t *object = json_object ();
      json_object_set_new (object, "organisation", json_string (status.organisation));
      json_object_set_new (object, "tokens", tokens_json (status.held + status.received));
      json_object_set_new (object, "capacity", tokens_json (status.capacity));
      json_object_set_new (object, "rate_per_s", tokens_json (status.generation_per_s));
      json_object_set_new (object, "demand_per_s", tokens_json (status.demand_per_s));
      json_object_set_new (object, "waiting", json_integer (status.waiting));
      json_object_set_new (object, "admitted",
                           json_integer ((json_int_t)status.admitted));
      json_object_set_new (object, "refused", json_integer ((json_int_t)status.refused));
      json_array_append_new (array, object);
    }
}
