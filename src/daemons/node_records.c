#include "daemons/node_records.h"

#include <string.h>

#include "base/log_event.h"
#include "daemons/platform_feed.h"
#include "membership/config_gossip.h"

/* The process starts without the platform if that has not answered in this time. */
#define PLATFORM_TIMEOUT_US (2 * JD_US_PER_S)
/* The choice of watchers depends on which members are down. */
#define WATCH_CHECK_INTERVAL_US JD_US_PER_S
#define KEYS_RECORD "keys"

struct jd_node_records
{
  jd_node_records_options_t options;
  jd_platform_feed_t *feed; /* NULL without a platform. */
  jd_config_gossip_t *gossip;
  jd_fleet_record_t *fleet;       /* NULL until a version is adopted. */
  GHashTable *reported_versions;  /* Record name -> version last reported by on_record. */
  uint64_t platform_keys_version; /* Version of the keys at the platform; 0: unknown. */
  int64_t started_us;
  int64_t last_watch_check_us;
  gboolean platform_answered;
  gboolean watching;
  _Atomic int64_t last_confirmed_us; /* -1: never confirmed. */
};

/* Returns the time of the process's monotonic clock. */
static int64_t
now_us (const jd_node_records_t *records)
{
  return jd_clock_now_us (&records->options.clock);
}

/* Sends a gossip message along its route. A failure is ignored, because a later exchange
 * repeats the content of a lost message. */
static void
send_by_route (jd_node_records_t *records, const jd_gossip_route_t *to,
               const jd_message_t *message)
{
  if (to->address)
    jd_peer_link_send (records->options.link, to->address, message);
  else
    jd_peer_link_reply (records->options.link, to->origin, message);
}

/* Digest hook of the gossip. */
static void
send_digest (void *context, const jd_gossip_route_t *to, const jd_digest_t *digest)
{
  jd_message_t message = { .type = JD_MESSAGE_DIGEST, .digest = *digest };
  send_by_route (context, to, &message);
}

/* Push hook of the gossip. */
static void
send_push (void *context, const jd_gossip_route_t *to, const jd_record_push_t *push)
{
  jd_message_t message = { .type = JD_MESSAGE_RECORD_PUSH, .record_push = *push };
  send_by_route (context, to, &message);
}

/* Record request hook of the gossip. */
static void
send_record_request (void *context, const jd_gossip_route_t *to,
                     const jd_record_request_t *request)
{
  jd_message_t message = { .type = JD_MESSAGE_RECORD_REQUEST,
                           .record_request = *request };
  send_by_route (context, to, &message);
}

/* Fetch hook of the gossip. Does nothing, because the platform client reads every listed
 * record without a request. */
static void
fetch (void *context, const char *record)
{
}

/* Calls on_record for each record whose current version has changed. */
static void
report_changes (jd_node_records_t *records)
{
  char **names = jd_config_store_names (records->options.store);
  for (char **name = names; *name; name++)
    {
      uint64_t version = jd_config_store_version (records->options.store, *name);
      uint64_t *reported = g_hash_table_lookup (records->reported_versions, *name);
      if (reported && *reported == version)
        continue;
      g_hash_table_insert (records->reported_versions, g_strdup (*name),
                           g_memdup2 (&version, sizeof (version)));
      records->options.on_record (records->options.context, *name);
    }
  g_strfreev (names);
}

/* Record callback of the platform feed: offers the record to the gossip. Stores the
 * version of the keys at the platform, because a stale replica of the platform must not
 * confirm newer keys. */
static void
on_platform_record (void *context, const char *name, const char *text, size_t length)
{
  jd_node_records_t *records = context;
  GError *error = NULL;
  jd_adoption_t adoption = jd_config_gossip_on_record (records->gossip, name, text,
                                                       length, now_us (records), &error);
  g_clear_error (&error);
  if (strcmp (name, KEYS_RECORD) == 0)
    {
      gboolean current =
          adoption == JD_ADOPTION_ADOPTED || adoption == JD_ADOPTION_CURRENT;
      records->platform_keys_version =
          current ? jd_config_store_version (records->options.store, name) : 0;
    }
}

/* Confirmation callback of the platform feed: confirms the keys that the platform had at
 * sent_us. */
static void
on_platform_confirmed (void *context, int64_t sent_us)
{
  jd_node_records_t *records = context;
  const jd_digest_entry_t keys = { .record = KEYS_RECORD,
                                   .version = records->platform_keys_version };
  records->platform_answered = TRUE;
  jd_config_gossip_on_listing (records->gossip, &keys,
                               records->platform_keys_version ? 1 : 0, sent_us,
                               now_us (records));
}

/* Host list callback of the platform feed. Does nothing, because the entry and the broker
 * do not use the list. */
static void
on_platform_hosts (void *context, const char *text, size_t length)
{
}

/* Connects to the platform. Every process reads all records once; afterwards only the
 * watchers read them. */
static void
start_feed (jd_node_records_t *records)
{
  const jd_node_records_options_t *options = &records->options;
  const jd_platform_feed_options_t feed = {
    .url = options->platform_url,
    .clock = options->clock,
    .counters = options->counters,
    .wake = options->wake,
    .wake_context = options->context,
    .on_record = on_platform_record,
    .on_confirmed = on_platform_confirmed,
    .on_hosts = on_platform_hosts,
    .context = records,
  };
  records->watching = TRUE;
  records->feed = jd_platform_feed_new (&feed);
}

/* Sets the bootstrap peers of the settings as the peers of the gossip. */
static void
set_bootstrap_peers (jd_node_records_t *records)
{
  if (!records->options.bootstrap_peers)
    return;
  char **addresses = g_strsplit (records->options.bootstrap_peers, ",", -1);
  jd_config_gossip_set_peers (records->gossip, (const char *const *)addresses,
                              g_strv_length (addresses));
  g_strfreev (addresses);
}

/* Starts to read the platform and to exchange records with the bootstrap peers. The
 * strings in options must outlive the records. */
jd_node_records_t *
jd_node_records_new (const jd_node_records_options_t *options)
{
  jd_node_records_t *records = g_new0 (jd_node_records_t, 1);
  records->options = *options;
  records->reported_versions =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records->last_confirmed_us = -1;
  records->started_us = now_us (records);
  const jd_gossip_options_t gossip = {
    .store = options->store,
    .own_address = options->own_address,
    .rng = options->rng,
    .settings = jd_gossip_settings_default (),
    .hooks = { .send_digest = send_digest,
               .send_push = send_push,
               .send_record_request = send_record_request,
               .fetch = fetch,
               .context = records },
  };
  records->gossip = jd_config_gossip_new (&gossip, records->started_us);
  set_bootstrap_peers (records);
  if (options->platform_url)
    start_feed (records);
  else
    jd_config_gossip_on_platform_failure (records->gossip, records->started_us);
  return records;
}

/* Stops the platform client and the gossip; NULL is allowed. */
void
jd_node_records_free (jd_node_records_t *records)
{
  if (!records)
    return;
  jd_platform_feed_free (records->feed);
  jd_config_gossip_free (records->gossip);
  g_hash_table_destroy (records->reported_versions);
  jd_fleet_record_unref (records->fleet);
  g_free (records);
}

/* Handles the messages of the gossip. Returns FALSE for others. */
gboolean
jd_node_records_on_message (jd_node_records_t *records, const jd_peer_origin_t *origin,
                            const jd_message_t *message)
{
  /* A message on the own DEALER answers this process and has the peer's address. A
   * message on the ROUTER has none; the reply goes back over its connection. */
  const jd_gossip_route_t from = { .address = *origin->address ? origin->address : NULL,
                                   .origin = origin };
  int64_t time_us = now_us (records);
  switch (message->type)
    {
    case JD_MESSAGE_DIGEST:
      jd_config_gossip_on_digest (records->gossip, &from, &message->digest, time_us);
      break;
    case JD_MESSAGE_RECORD_PUSH:
      jd_config_gossip_on_push (records->gossip, &message->record_push, time_us);
      break;
    case JD_MESSAGE_RECORD_REQUEST:
      jd_config_gossip_on_record_request (records->gossip, &from,
                                          &message->record_request);
      break;
    default:
      return FALSE;
    }
  return TRUE;
}

/* Replaces the fleet record and sets its members, without the voting-only ones, as the
 * peers of the gossip. */
void
jd_node_records_set_fleet (jd_node_records_t *records, const jd_fleet_record_t *fleet)
{
  jd_fleet_record_unref (records->fleet);
  records->fleet = jd_fleet_record_ref ((jd_fleet_record_t *)fleet);
  GPtrArray *addresses = g_ptr_array_new ();
  for (uint32_t i = 0; i < fleet->group_count; i++)
    {
      const jd_group_record_t *group = &fleet->groups[i];
      for (uint32_t j = 0; j < group->member_count; j++)
        {
          if (!group->members[j].voting_only)
            g_ptr_array_add (addresses, group->members[j].address);
        }
    }
  jd_config_gossip_set_peers (records->gossip, (const char *const *)addresses->pdata,
                              addresses->len);
  g_ptr_array_free (addresses, TRUE);
}

/* Starts or stops the watch of the platform. A process watches it if it is one of the
 * selected watchers or if its last confirmation is too old. */
static void
update_watching (jd_node_records_t *records, int64_t time_us)
{
  if (!records->feed || !records->fleet || !records->platform_answered ||
      time_us - records->last_watch_check_us < WATCH_CHECK_INTERVAL_US)
    return;
  records->last_watch_check_us = time_us;
  gboolean watching = jd_platform_watch_is_watcher (
      records->fleet, records->options.member, records->options.is_member_down,
      records->options.context);
  watching = watching || jd_config_gossip_should_poll (records->gossip, time_us);
  if (watching == records->watching)
    return;
  records->watching = watching;
  jd_platform_feed_set_watching (records->feed, watching);
  jd_log_event (G_LOG_LEVEL_INFO, "platform_watch", "watching=%d", watching);
}

/* Stores the time of the last confirmation of the keys for other threads. */
static void
update_confirmed_time (jd_node_records_t *records, int64_t time_us)
{
  int64_t age_us = jd_config_gossip_platform_age_us (records->gossip, time_us);
  records->last_confirmed_us = age_us == JD_PLATFORM_AGE_NEVER ? -1 : time_us - age_us;
}

/* Handles what the platform client has read, runs the timers of the gossip and reports
 * changed records. */
void
jd_node_records_tick (jd_node_records_t *records)
{
  if (records->feed)
    jd_platform_feed_drain (records->feed);
  int64_t time_us = now_us (records);
  if (records->feed && !records->platform_answered &&
      time_us - records->started_us >= PLATFORM_TIMEOUT_US)
    jd_config_gossip_on_platform_failure (records->gossip, time_us);
  jd_config_gossip_tick (records->gossip, time_us);
  update_watching (records, time_us);
  update_confirmed_time (records, time_us);
  report_changes (records);
}

/* Returns the time of the next tick of the gossip. */
int64_t
jd_node_records_next_tick_us (const jd_node_records_t *records)
{
  return jd_config_gossip_next_tick_us (records->gossip);
}

/* Returns TRUE once the process has the newest versions that its peers and the platform
 * reported. */
gboolean
jd_node_records_is_joined (const jd_node_records_t *records)
{
  return jd_config_gossip_is_joined (records->gossip);
}

/* Returns the age of the last confirmation of the keys, -1 if there was none. May be
 * called in any thread. */
int64_t
jd_node_records_age_us (jd_node_records_t *records)
{
  int64_t last_confirmed_us = records->last_confirmed_us;
  return last_confirmed_us < 0 ? -1 : now_us (records) - last_confirmed_us;
}
