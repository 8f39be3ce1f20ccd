#include "daemons/record_source.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <string.h>
#include <zlib.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "membership/record_plan.h"
#include "membership/store_contact.h"
#include "transport/http_call.h"
#include "transport/wire_reader.h"

#define FORMAT_VERSION 3
#define COPY_BYTES_MAX ((size_t)32 * 1024 * 1024)
#define RECORDS_MAX (1U << 20)
/* A host whose last successful read of the store is older than this many read intervals
 * does not count as a reader of the store. */
#define READ_AGE_MAX_INTERVALS 3
/* Least time for which removals are held after an outage of the store. Targets whose
 * records expired write them again within about 2 s of its end; the rest covers the
 * next read of the store and the copy to the other hosts. */
#define REMOVAL_HOLD_MIN_US (2900 * JD_US_PER_MS)
/* Removals are held after an outage longer than this many heartbeat intervals. A record
 * expires after three missed heartbeats, and the first may have been due when the outage
 * began. */
#define OUTAGE_MIN_HEARTBEATS 2
/* Reads that fail one after the other until the store counts as unreadable. A single one
 * may have hung on a connection that was lost. */
#define FAILURES_MIN 2U
/* Time for which other hosts are told of a failed read. */
#define FAILURE_AGE_MAX_US (JD_US_PER_S)
/* Time that a starting host waits for gossip of other hosts before it reads the store. */
#define FIRST_READ_DELAY_S 0.05

/* Number of a revision in its generation, and the generation, for log lines. */
#define REVISION_FORMAT "revision=%" G_GINT64_FORMAT " generation=%u"
#define REVISION_ARGS(revision)                                                          \
  jd_record_revision_number (revision), jd_record_revision_generation (revision)

struct jd_record_source
{
  jd_record_source_options_t options;
  jd_record_budget_t budget;
  jd_http_client_t *client;
  ev_timer timer;
  int64_t started_us;
  int64_t last_read_us;    /* Request time of the last successful read of the store. */
  int64_t read_again_us;   /* Earliest time of the next read of the store. */
  int64_t read_started_us; /* Start of the running or last read of the store. */
  /* End and start of the last read of the store that failed after another one, so that
   * the cause is not a kept connection; 0: none. */
  int64_t read_failed_us;
  int64_t failed_read_started_us;
  uint32_t failure_count; /* Reads of the store that failed one after the other. */
  jd_store_contact_t contact;
  int64_t copy_requested_us;
  uint32_t copy_peer_ip; /* Host that the running or last copy comes from. */
  jd_name_t copy_peer_name;
  bool is_store_read_running; /* A read of the store is running. */
  bool store_failed;
  bool needs_full_copy; /* All records of an established host have not been copied since
                           the start. Such a host may know more than a store that has
                           returned from an older copy. */
  bool is_full_copy;    /* The running or last copy is of all these records. */
  bool is_store_reader; /* Since the last step: FALSE if the host copies from a peer. */
};

static void take_step (jd_record_source_t *source);

/* Returns the maximum age of the last successful read at which this host is still
 * regarded as a reader of the store. */
static int64_t
read_age_max_us (const jd_record_source_t *source)
{
  return READ_AGE_MAX_INTERVALS * source->budget.read_interval_us;
}

/* Returns the time for which removals are held after an outage of the store: until it has
 * been stable for long enough to be trusted, also if this host noticed its end one read
 * late. */
static int64_t
removal_hold_us (const jd_record_source_t *source)
{
  return MAX (REMOVAL_HOLD_MIN_US,
              source->options.limits.store_stable_us - source->budget.read_interval_us);
}

/* Returns what this host has seen of the store itself. */
static jd_own_contact_t
own_contact (const jd_record_source_t *source)
{
  return (jd_own_contact_t){
    .as_of_us = jd_record_feed_as_of_us (source->options.feed),
    .failed_us = source->read_failed_us,
    .failed_start_us = source->failed_read_started_us,
  };
}

/* Updates what is known of outages of the store, and holds removals if records may have
 * expired in one. Each host decides this for itself: one that was cut off cannot tell
 * hosts that were not to hold removals. */
static void
hold_after_outage (jd_record_source_t *source, int64_t now_us)
{
  const jd_own_contact_t own = own_contact (source);
  jd_store_contact_note (&source->contact, source->options.peers, &own, now_us);
  jd_record_feed_hold_removals (
      source->options.feed,
      jd_store_contact_hold_until_us (&source->contact, &own, now_us));
}

/* Handles the return of the store from an older copy of its records, which lacks changes
 * that it had already published. Their writers need some time to publish them again. */
void
jd_record_source_on_new_generation (jd_record_source_t *source)
{
  jd_record_feed_hold_removals (source->options.feed,
                                jd_monotonic_us () + REMOVAL_HOLD_MIN_US);
}

/* Sets the limits: the time within which changes have to be in force, how many removals
 * at a time are believed, and the times that decide on that. */
static void
set_limits (jd_record_source_t *source, const jd_record_source_limits_t *limits)
{
  source->options.limits = *limits;
  source->budget = jd_record_budget_new (limits->change_limit_us);
  source->contact.stable_us = limits->store_stable_us;
  source->contact.hold_us = removal_hold_us (source);
  jd_removal_doubt_t doubt = {
    .max_share = limits->max_removed_share,
    .drain_limit_us = limits->drain_limit_us,
  };
  jd_record_feed_set_doubt (source->options.feed, &doubt);
}

/* Applies limits that may have changed. The next step is planned anew if changes have to
 * be in force sooner or later than before. */
void
jd_record_source_apply_limits (jd_record_source_t *source,
                               const jd_record_source_limits_t *limits)
{
  bool is_changed = limits->change_limit_us != source->options.limits.change_limit_us;
  set_limits (source, limits);
  if (is_changed)
    take_step (source);
}

/* Returns TRUE if this host reads the store and its last read succeeded recently. */
bool
jd_record_source_reads_store (const jd_record_source_t *source, int64_t now_us)
{
  return source->is_store_reader && source->last_read_us > 0 && !source->store_failed &&
         now_us - source->last_read_us < read_age_max_us (source);
}

/* Returns TRUE if this host has tried in vain to read the store a moment ago, and has got
 * no newer records since. */
bool
jd_record_source_store_failed (const jd_record_source_t *source, int64_t now_us)
{
  return source->read_failed_us > jd_record_feed_as_of_us (source->options.feed) &&
         now_us - source->read_failed_us < FAILURE_AGE_MAX_US;
}

/* Returns TRUE if the records are recent enough to decide by what they lack. */
bool
jd_record_source_is_current (const jd_record_source_t *source, int64_t now_us)
{
  int64_t as_of_us = jd_record_feed_as_of_us (source->options.feed);
  return as_of_us > 0 && now_us - as_of_us < source->budget.own_read_max_us;
}

/* Sets whether this host reads the store or copies from a peer, and logs a change. */
static void
set_role (jd_record_source_t *source, bool reads_store)
{
  if (reads_store == source->is_store_reader)
    return;
  source->is_store_reader = reads_store;
  jd_log_event (G_LOG_LEVEL_INFO, "records_source", "from=%s " REVISION_FORMAT,
                reads_store ? "store" : "peer",
                REVISION_ARGS (jd_record_feed_revision (source->options.feed)));
}

/* Calls on_changed if records have changed since a revision. */
static void
notify_changes (jd_record_source_t *source, int64_t previous_revision)
{
  if (jd_record_feed_changed_revision (source->options.feed) > previous_revision)
    source->options.on_changed (source->options.context);
}

/* Returns the state of this host's records for the decision on the next step. */
static jd_record_view_t
view_records (const jd_record_source_t *source, int64_t now_us)
{
  const jd_record_feed_t *feed = source->options.feed;
  return (jd_record_view_t){
    .revision = jd_record_feed_revision (feed),
    .as_of_us = jd_record_feed_as_of_us (feed),
    .started_us = source->started_us,
    .read_again_us = source->read_again_us,
    .reads_store = jd_record_source_reads_store (source, now_us),
    .store_failed = source->store_failed,
    .is_reading = source->is_store_read_running,
    .is_copying = jd_http_client_is_busy (source->client),
    .needs_full_copy = source->needs_full_copy,
    .held_until_us = jd_record_feed_removals_held_until_us (feed),
  };
}

/* Notes a read of the store that failed. Tells the other hosts at once, because they take
 * part in the decision whether the store is away. */
static void
note_failure (jd_record_source_t *source, int64_t now_us)
{
  if (++source->failure_count < FAILURES_MIN)
    return;
  source->read_failed_us = now_us;
  source->failed_read_started_us = source->read_started_us;
  if (source->failure_count == FAILURES_MIN)
    source->options.on_changed (source->options.context);
}

/* Handles the end of a store read. `requested_us` is the time at which the read started;
 * the records are at least that recent. After a failure, and while removals are held, the
 * next step is planned anew. */
void
jd_record_source_on_store_read (jd_record_source_t *source, bool success,
                                int64_t requested_us)
{
  int64_t now_us = jd_monotonic_us ();
  source->is_store_read_running = false;
  if (!success)
    {
      if (!source->store_failed)
        jd_log_event (
            G_LOG_LEVEL_WARNING, "store_lost", "last_read_ms=%" G_GINT64_FORMAT,
            source->last_read_us ? (now_us - source->last_read_us) / JD_US_PER_MS : -1);
      source->store_failed = true;
      note_failure (source, now_us);
      jd_record_view_t view = view_records (source, now_us);
      source->read_again_us = jd_record_plan_read_again_us (
          &source->budget, &view, source->read_started_us, now_us);
      take_step (source);
      return;
    }
  if (source->store_failed)
    jd_log_event (G_LOG_LEVEL_INFO, "store_regained",
                  REVISION_FORMAT " lost_ms=%" G_GINT64_FORMAT,
                  REVISION_ARGS (jd_record_feed_revision (source->options.feed)),
                  (now_us - source->last_read_us) / JD_US_PER_MS);
  source->store_failed = false;
  source->failure_count = 0;
  source->read_again_us = 0;
  source->last_read_us = requested_us;
  source->options.on_changed (source->options.context);
  /* Records that have vanished may return soon; the step before did not know. */
  if (jd_record_feed_removals_held_until_us (source->options.feed) > now_us)
    take_step (source);
}

/* Applies one record of a copy to the feed. Adds its key to `keys` unless it is removed.
 */
static void
apply_record (jd_record_source_t *source, jd_wire_reader_t *reader, GHashTable *keys)
{
  jd_wire_read_tuple (reader, 3);
  char *key = jd_wire_read_text (reader);
  int64_t revision = jd_wire_read_signed (reader);
  uint32_t value_bytes = 0;
  char *value = jd_wire_read_bytes (reader, &value_bytes);
  if (!reader->failure && key)
    {
      if (value)
        {
          GBytes *bytes = g_bytes_new (value, value_bytes);
          jd_record_feed_put (source->options.feed, key, bytes, revision,
                              JD_RECORD_COPIED);
          g_bytes_unref (bytes);
          g_hash_table_add (keys, g_strdup (key));
        }
      else
        jd_record_feed_remove (source->options.feed, key, revision);
    }
  g_free (key);
  g_free (value);
}

/* Decompresses a copy: the size of the records in network byte order, then their
 * compressed bytes. Returns NULL if the copy is corrupt or larger than COPY_BYTES_MAX. */
static GBytes *
decompress_copy (const GString *body)
{
  uint32_t size_be = 0;
  if (body->len < sizeof (size_be))
    return NULL;
  memcpy (&size_be, body->str, sizeof (size_be));
  uLongf size = g_ntohl (size_be);
  if (size > COPY_BYTES_MAX)
    return NULL;
  guchar *data = g_malloc (MAX (size, 1));
  if (uncompress (data, &size, (const Bytef *)body->str + sizeof (size_be),
                  body->len - sizeof (size_be)) != Z_OK)
    {
      g_free (data);
      return NULL;
    }
  return g_bytes_new_take (data, size);
}

/* Returns TRUE if a revision shows that the store has returned from an older copy of the
 * records that this host has. */
static bool
is_of_new_generation (const jd_record_source_t *source, int64_t revision)
{
  int64_t own_revision = jd_record_feed_revision (source->options.feed);
  return own_revision > 0 && jd_record_revision_generation (revision) >
                                 jd_record_revision_generation (own_revision);
}

/* Applies a copy from another host to the feed. Returns FALSE and logs the cause if it is
 * unreadable; records in front of the error stay applied. */
static bool
apply_copy (jd_record_source_t *source, const GString *body)
{
  GBytes *records = decompress_copy (body);
  if (!records)
    {
      jd_log_event (G_LOG_LEVEL_WARNING, "copy_unreadable", "cause=packing bytes=%zu",
                    body->len);
      return false;
    }
  jd_wire_reader_t reader;
  gsize records_size = 0;
  const void *records_data = g_bytes_get_data (records, &records_size);
  jd_wire_reader_init (&reader, records_data, records_size);
  if (jd_wire_read_unsigned (&reader, UINT8_MAX) != FORMAT_VERSION)
    jd_wire_reader_fail (&reader, "unsupported format version");
  int64_t revision = jd_wire_read_signed (&reader);
  int64_t age_us = jd_wire_read_signed (&reader);
  bool is_full = jd_wire_read_boolean (&reader);
  uint32_t count = jd_wire_read_array (&reader, RECORDS_MAX);
  hold_after_outage (source, jd_monotonic_us ());
  if (!reader.failure && is_of_new_generation (source, revision))
    jd_record_source_on_new_generation (source);
  jd_record_feed_begin_batch (source->options.feed);
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < count && !reader.failure; i++)
    apply_record (source, &reader, keys);
  const char *failure = reader.failure; /* A string constant; it outlives the reader. */
  if (!failure && is_full)
    jd_record_feed_retain (source->options.feed, keys, revision);
  jd_record_feed_end_batch (source->options.feed, jd_monotonic_us ());
  if (!failure)
    jd_record_feed_advance (source->options.feed, revision,
                            source->copy_requested_us - age_us);
  g_hash_table_destroy (keys);
  jd_wire_reader_clear (&reader);
  g_bytes_unref (records);
  if (failure)
    jd_log_event (G_LOG_LEVEL_WARNING, "copy_unreadable", "cause=\"%s\"", failure);
  return !failure;
}

/* Handles a copy that failed: its source is not asked again before it has sent another
 * message, and the next step is due at once. */
static void
handle_failed_copy (jd_record_source_t *source)
{
  jd_peer_table_copy_failed (source->options.peers, source->copy_peer_ip,
                             jd_monotonic_us ());
  take_step (source);
}

/* HTTP callback: applies the copy of a peer, or logs its failure. */
static void
on_copy_done (void *context, jd_http_call_outcome_t outcome,
              const jd_http_reader_t *reply)
{
  jd_record_source_t *source = context;
  if (!reply || reply->parser.status_code != 200)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "copy_failed",
                    "from=%s outcome=%s status=%u ms=%" G_GINT64_FORMAT,
                    source->copy_peer_name, jd_http_call_outcome_name (outcome),
                    reply ? reply->parser.status_code : 0,
                    (jd_monotonic_us () - source->copy_requested_us) / JD_US_PER_MS);
      handle_failed_copy (source);
      return;
    }
  int64_t previous_revision = jd_record_feed_changed_revision (source->options.feed);
  int64_t requested_after = jd_record_feed_revision (source->options.feed);
  if (!apply_copy (source, reply->body))
    {
      handle_failed_copy (source);
      return;
    }
  if (source->is_full_copy)
    source->needs_full_copy = false;
  jd_log_event (G_LOG_LEVEL_INFO, "records_copied",
                "from=%s full=%d after=%" G_GINT64_FORMAT " " REVISION_FORMAT
                " bytes=%zu ms=%" G_GINT64_FORMAT,
                source->copy_peer_name, source->is_full_copy,
                jd_record_revision_number (requested_after),
                REVISION_ARGS (jd_record_feed_revision (source->options.feed)),
                reply->body->len,
                (jd_monotonic_us () - source->copy_requested_us) / JD_US_PER_MS);
  notify_changes (source, previous_revision);
  /* The step before did not know of removals that are held now. */
  if (jd_record_feed_removals_held_until_us (source->options.feed) > jd_monotonic_us ())
    take_step (source);
}

/* Starts a copy of the changes that a peer has and this host lacks, or of all records if
 * this host needs them and the peer is established. If there are no changes, only
 * advances the revision and time of the feed. No copy may be running. */
static void
follow_peer (jd_record_source_t *source, const jd_peer_t *peer,
             const jd_record_view_t *view, int64_t now_us)
{
  jd_record_feed_t *feed = source->options.feed;
  bool is_full_copy = view->needs_full_copy && jd_peer_is_established (peer);
  int64_t revision = is_full_copy ? 0 : view->revision;
  if (revision > 0 && peer->state.changed_revision <= revision)
    {
      jd_record_feed_advance (feed, peer->state.feed_revision,
                              peer->last_message_us - peer->state.feed_age_us);
      return;
    }
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (source->options.peer_port),
    .sin_addr = { .s_addr = htonl (peer->state.ip) },
  };
  char target[64];
  g_snprintf (target, sizeof (target), "/records?after=%" G_GINT64_FORMAT, revision);
  source->is_full_copy = is_full_copy;
  source->copy_requested_us = now_us;
  source->copy_peer_ip = peer->state.ip;
  g_strlcpy (source->copy_peer_name, peer->state.name, sizeof (source->copy_peer_name));
  jd_http_client_set_address (source->client, &address);
  jd_http_client_get (source->client, target,
                      jd_record_plan_copy_limit_us (&source->budget, view, now_us),
                      on_copy_done, source);
}

/* Starts a read of the store. */
static void
read_store (jd_record_source_t *source, int64_t call_limit_us, int64_t now_us)
{
  hold_after_outage (source, now_us);
  source->is_store_read_running = true;
  source->read_started_us = now_us;
  source->options.read_store (source->options.store_context, call_limit_us);
}

/* Reads the store or copies from a peer, and sets the time of the next step. A host whose
 * records get too old reads the store beside a copy that is running. */
static void
take_step (jd_record_source_t *source)
{
  int64_t now_us = jd_monotonic_us ();
  jd_record_feed_release_removals (source->options.feed, now_us);
  jd_record_view_t view = view_records (source, now_us);
  jd_record_plan_t plan =
      jd_record_plan_choose (&source->budget, source->options.peers, &view, now_us);
  set_role (source, plan.is_reader || plan.is_own_read_due);
  if (plan.is_own_read_due && plan.starts_read)
    jd_log_event (G_LOG_LEVEL_INFO, "own_read_due",
                  "age_ms=%" G_GINT64_FORMAT " copying=%d copying_from=%s",
                  (now_us - MAX (view.as_of_us, view.started_us)) / JD_US_PER_MS,
                  view.is_copying, source->copy_peer_name);
  source->timer.repeat = (double)plan.next_step_in_us / (double)JD_US_PER_S;
  ev_timer_again (source->options.loop, &source->timer);
  if (plan.starts_read)
    read_store (source, plan.read_limit_us, now_us);
  if (plan.source)
    follow_peer (source, plan.source, &view, now_us);
}

/* Timer callback: the next step is due. */
static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  take_step (timer->data);
}

/* Handles a state message of a peer: copies at once if a peer has newer records and this
 * host does not read the store. */
void
jd_record_source_on_peer_state (jd_record_source_t *source)
{
  int64_t now_us = jd_monotonic_us ();
  hold_after_outage (source, now_us);
  jd_record_view_t view = view_records (source, now_us);
  const jd_peer_t *peer =
      jd_record_plan_offer (&source->budget, source->options.peers, &view, now_us);
  if (peer)
    follow_peer (source, peer, &view, now_us);
}

/* Creates a source and starts its timer. Free with jd_record_source_free. */
jd_record_source_t *
jd_record_source_new (const jd_record_source_options_t *options)
{
  jd_record_source_t *source = g_new0 (jd_record_source_t, 1);
  source->options = *options;
  set_limits (source, &options->limits);
  source->started_us = jd_monotonic_us ();
  source->needs_full_copy = !options->is_first_start;
  source->contact.max_gap_us = OUTAGE_MIN_HEARTBEATS * options->heartbeat_interval_us;
  source->client = jd_http_client_new (options->loop, COPY_BYTES_MAX);
  ev_timer_init (&source->timer, on_timer, FIRST_READ_DELAY_S,
                 (double)source->budget.read_interval_us / (double)JD_US_PER_S);
  source->timer.data = source;
  ev_timer_start (options->loop, &source->timer);
  return source;
}

/* Stops the timer and frees a source with its HTTP client. */
void
jd_record_source_free (jd_record_source_t *source)
{
  ev_timer_stop (source->options.loop, &source->timer);
  jd_http_client_free (source->client);
  g_free (source);
}

/* Feed visitor: packs one record; a removed one has nil as its value. */
static void
pack_record (void *context, const jd_feed_item_t *item)
{
  msgpack_packer *packer = context;
  msgpack_pack_array (packer, 3);
  msgpack_pack_str_with_body (packer, item->key, strlen (item->key));
  msgpack_pack_int64 (packer, item->revision);
  if (!item->value)
    {
      msgpack_pack_nil (packer);
      return;
    }
  gsize size = 0;
  const void *data = g_bytes_get_data (item->value, &size);
  msgpack_pack_bin_with_body (packer, data, size);
}

/* Feed visitor: counts records. */
static void
count_record (void *context, const jd_feed_item_t *item)
{
  (*(uint32_t *)context)++;
}

/* Compresses packed records behind their size. The level trades size for CPU time. */
static GString *
compress_records (const msgpack_sbuffer *records)
{
  uLongf packed_size = compressBound (records->size);
  uint32_t size_be = g_htonl ((uint32_t)records->size);
  GString *text = g_string_sized_new (packed_size + sizeof (size_be));
  g_string_append_len (text, (const char *)&size_be, sizeof (size_be));
  compress2 ((Bytef *)text->str + sizeof (size_be), &packed_size,
             (const Bytef *)records->data, records->size, Z_BEST_SPEED);
  g_string_set_size (text, packed_size + sizeof (size_be));
  return text;
}

/* Returns a copy for another host, to be freed by the caller: the changes after a
 * revision, or all records if the tombstones do not reach back to it. */
GString *
jd_record_source_render (const jd_record_feed_t *feed, int64_t after, int64_t now_us)
{
  bool is_full = !jd_record_feed_has_changes_since (feed, after);
  int64_t from = is_full ? -1 : after;
  uint32_t count = 0;
  jd_record_feed_each_after (feed, from, count_record, &count);
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, FORMAT_VERSION);
  msgpack_pack_int64 (&packer, jd_record_feed_revision (feed));
  msgpack_pack_int64 (&packer, now_us - jd_record_feed_as_of_us (feed));
  if (is_full)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  msgpack_pack_array (&packer, count);
  jd_record_feed_each_after (feed, from, pack_record, &packer);
  GString *text = compress_records (&buffer);
  msgpack_sbuffer_destroy (&buffer);
  return text;
}
