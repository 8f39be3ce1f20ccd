#include "daemons/record_source.h"

#include <arpa/inet.h>
#include <msgpack.h>
#include <string.h>
#include <zlib.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "transport/http_call.h"
#include "transport/wire_reader.h"

#define FORMAT_VERSION 2
/* A whole copy is about 20 kB packed; many hosts may ask for one at the same time over a
 * link of 20 Mbit/s. */
#define COPY_TIMEOUT_US (1500 * JD_US_PER_MS)
#define COPY_BYTES_MAX ((size_t)32 * 1024 * 1024)
#define RECORDS_MAX (1U << 20)
/* Hosts that hold a store reading that is older than this many intervals do not count as
 * reading. */
#define READING_INTERVALS 3
/* After a failed read the store is asked again no sooner than this. */
#define STORE_RETRY_US (700 * JD_US_PER_MS)
/* Targets whose records lapsed during an outage write them again within about 2 s of its
 * end; the rest is for the next read of the store and the way to the other hosts. */
#define RETURN_US (2900 * JD_US_PER_MS)
/* Time between reads during an outage and while records may come back after it. */
#define RECOVERY_INTERVAL_US (500 * JD_US_PER_MS)
/* A record lapses after three heartbeats without one, the first of which may have been
 * due when the outage began. */
#define OUTAGE_HEARTBEATS 2
/* How long a starting host listens for others before it asks the store itself. */
#define FIRST_READ_DELAY_S 0.05

struct jd_record_source
{
  jd_record_source_options_t options;
  jd_http_caller_t *copier;
  ev_timer timer;
  int64_t last_success_us; /* Last good read of the store. */
  int64_t retry_us;        /* The store is not asked before this. */
  int64_t copy_asked_us;
  jd_name_t copied_from; /* Host of the running or last copy. */
  bool reading;
  bool store_failed;
  bool was_reader;
};

/* Returns the longest time between good reads of a host that counts as reading. */
static int64_t
reading_limit_us (const jd_record_source_t *source)
{
  return READING_INTERVALS * source->options.interval_us;
}

/* TRUE while this host reads the store with success. */
bool
jd_record_source_reads_store (const jd_record_source_t *source, int64_t now_us)
{
  return source->last_success_us > 0 && !source->store_failed &&
         now_us - source->last_success_us < reading_limit_us (source);
}

/* Logs when this host starts or stops being one that reads the store. */
static void
note_role (jd_record_source_t *source, bool reads)
{
  if (reads == source->was_reader)
    return;
  source->was_reader = reads;
  jd_log_event (G_LOG_LEVEL_INFO, "records_source", "from=%s revision=%" G_GINT64_FORMAT,
                reads ? "store" : "peer", jd_record_feed_revision (source->options.feed));
}

/* Tells the owner when records have changed since a revision. */
static void
tell_changes (jd_record_source_t *source, int64_t before)
{
  if (jd_record_feed_changed_revision (source->options.feed) > before)
    source->options.on_changed (source->options.context);
}

/* Takes the end of a read of the store that was asked for at a time. */
void
jd_record_source_store_read (jd_record_source_t *source, bool success, int64_t asked_us)
{
  int64_t now_us = jd_monotonic_us ();
  source->reading = false;
  if (!success)
    {
      if (!source->store_failed)
        jd_log_event (G_LOG_LEVEL_WARNING, "store_lost", "last_read_ms=%" G_GINT64_FORMAT,
                      source->last_success_us
                          ? (now_us - source->last_success_us) / JD_US_PER_MS
                          : -1);
      source->store_failed = true;
      source->retry_us = now_us + STORE_RETRY_US;
      return;
    }
  if (source->store_failed)
    jd_log_event (G_LOG_LEVEL_INFO, "store_regained",
                  "revision=%" G_GINT64_FORMAT " lost_ms=%" G_GINT64_FORMAT,
                  jd_record_feed_revision (source->options.feed),
                  (now_us - source->last_success_us) / JD_US_PER_MS);
  source->store_failed = false;
  source->last_success_us = asked_us;
  source->options.on_changed (source->options.context);
}

/* Reads one copied record. */
static void
take_record (jd_record_source_t *source, jd_wire_reader_t *reader, GHashTable *keys)
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
          jd_record_feed_put (source->options.feed, key, bytes, revision);
          g_bytes_unref (bytes);
          g_hash_table_add (keys, g_strdup (key));
        }
      else
        jd_record_feed_remove (source->options.feed, key, revision);
    }
  g_free (key);
  g_free (value);
}

/* Unpacks what another host sent: the size of the records, then their packed bytes. NULL
 * when the bytes are damaged. */
static GBytes *
unpack (const GString *body)
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

/* Takes the records that another host sent. */
static bool
take_copy (jd_record_source_t *source, const GString *body)
{
  GBytes *records = unpack (body);
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
    jd_wire_reader_fail (&reader, "other format version");
  int64_t revision = jd_wire_read_signed (&reader);
  int64_t age_us = jd_wire_read_signed (&reader);
  int64_t hold_us = jd_wire_read_signed (&reader);
  bool is_full = jd_wire_read_boolean (&reader);
  uint32_t count = jd_wire_read_array (&reader, RECORDS_MAX);
  if (!reader.failure && hold_us > 0)
    jd_record_feed_hold_removals (source->options.feed,
                                  jd_monotonic_us () + MIN (hold_us, RETURN_US));
  GHashTable *keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < count && !reader.failure; i++)
    take_record (source, &reader, keys);
  const char *failure = reader.failure; /* A text that lives on. */
  if (!failure && is_full)
    jd_record_feed_retain (source->options.feed, keys, revision);
  if (!failure)
    jd_record_feed_advance (source->options.feed, revision,
                            source->copy_asked_us - age_us);
  g_hash_table_destroy (keys);
  jd_wire_reader_clear (&reader);
  g_bytes_unref (records);
  if (failure)
    jd_log_event (G_LOG_LEVEL_WARNING, "copy_unreadable", "cause=\"%s\"", failure);
  return !failure;
}

/* Call callback: another host has answered, or has not. */
static void
on_copied (void *context, jd_http_call_outcome_t outcome, const jd_http_reader_t *reply)
{
  jd_record_source_t *source = context;
  if (!reply || reply->parser.status_code != 200)
    {
      jd_log_event (G_LOG_LEVEL_INFO, "copy_failed", "outcome=%s status=%u",
                    jd_http_call_outcome_name (outcome),
                    reply ? reply->parser.status_code : 0);
      return;
    }
  int64_t before = jd_record_feed_changed_revision (source->options.feed);
  int64_t known = jd_record_feed_revision (source->options.feed);
  if (!take_copy (source, reply->body))
    return;
  jd_log_event (G_LOG_LEVEL_INFO, "records_copied",
                "from=%s after=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT
                " bytes=%zu ms=%" G_GINT64_FORMAT,
                source->copied_from, known,
                jd_record_feed_revision (source->options.feed), reply->body->len,
                (jd_monotonic_us () - source->copy_asked_us) / JD_US_PER_MS);
  tell_changes (source, before);
}

/* Copies from a host what it knows beyond this one, if it knows more. */
static void
follow (jd_record_source_t *source, const jd_peer_t *peer)
{
  jd_record_feed_t *feed = source->options.feed;
  int64_t revision = jd_record_feed_revision (feed);
  if (revision > 0 && peer->state.changed_revision <= revision)
    {
      jd_record_feed_advance (feed, peer->state.feed_revision,
                              peer->heard_us - peer->state.feed_age_us);
      return;
    }
  if (jd_http_caller_is_busy (source->copier))
    return;
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (source->options.peer_port),
    .sin_addr = { .s_addr = htonl (peer->state.ip) },
  };
  char target[64];
  g_snprintf (target, sizeof (target), "/records?after=%" G_GINT64_FORMAT, revision);
  source->copy_asked_us = jd_monotonic_us ();
  g_strlcpy (source->copied_from, peer->state.name, sizeof (source->copied_from));
  jd_http_caller_set_address (source->copier, &address);
  jd_http_caller_get (source->copier, target, COPY_TIMEOUT_US, on_copied, source);
}

/* Asks the store, unless it is being asked or has just failed. */
static void
read_store (jd_record_source_t *source, int64_t now_us)
{
  if (source->reading || now_us < source->retry_us)
    return;
  int64_t as_of_us = jd_record_feed_as_of_us (source->options.feed);
  bool was_out = as_of_us > 0 && source->store_failed &&
                 now_us - as_of_us > OUTAGE_HEARTBEATS * source->options.heartbeat_us;
  if (was_out)
    jd_record_feed_hold_removals (source->options.feed, now_us + RETURN_US);
  source->reading = true;
  source->options.read_store (source->options.store_context);
}

/* Timer callback: one step towards current records. */
static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_record_source_t *source = timer->data;
  int64_t now_us = jd_monotonic_us ();
  const jd_peer_t *peer = jd_peer_table_best_source (
      source->options.peers, jd_record_feed_revision (source->options.feed), now_us);
  bool reads_now = jd_record_source_reads_store (source, now_us);
  bool should_read =
      !peer || jd_peer_table_should_read (source->options.peers, reads_now, now_us);
  note_role (source, should_read);
  if (should_read)
    read_store (source, now_us);
  if (peer && (!should_read || source->store_failed))
    follow (source, peer);
  bool recovers = source->store_failed ||
                  jd_record_feed_held_until_us (source->options.feed) > now_us;
  timer->repeat =
      (double)(recovers ? MIN (RECOVERY_INTERVAL_US, source->options.interval_us)
                        : source->options.interval_us) /
      (double)JD_US_PER_S;
  ev_timer_again (loop, timer);
}

/* Looks at once whether a host that was just heard knows more. */
void
jd_record_source_peer_heard (jd_record_source_t *source)
{
  int64_t now_us = jd_monotonic_us ();
  if (jd_record_source_reads_store (source, now_us))
    return;
  const jd_peer_t *peer = jd_peer_table_best_source (
      source->options.peers, jd_record_feed_revision (source->options.feed), now_us);
  if (peer)
    follow (source, peer);
}

/* Starts to keep the records current. */
jd_record_source_t *
jd_record_source_new (const jd_record_source_options_t *options)
{
  jd_record_source_t *source = g_new0 (jd_record_source_t, 1);
  source->options = *options;
  source->copier = jd_http_caller_new (options->loop, COPY_BYTES_MAX);
  ev_timer_init (&source->timer, on_tick, FIRST_READ_DELAY_S,
                 (double)options->interval_us / (double)JD_US_PER_S);
  source->timer.data = source;
  ev_timer_start (options->loop, &source->timer);
  return source;
}

/* Stops and frees a source. */
void
jd_record_source_free (jd_record_source_t *source)
{
  ev_timer_stop (source->options.loop, &source->timer);
  jd_http_caller_free (source->copier);
  g_free (source);
}

/* Feed visitor: packs one record. */
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

/* Packs records; the level trades size for processor time. */
static GString *
pack (const msgpack_sbuffer *records)
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

/* Returns what another host copies: the changes after a revision, or everything when the
 * traces of removals do not reach back that far. */
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
  msgpack_pack_int64 (&packer, MAX (jd_record_feed_held_until_us (feed) - now_us, 0));
  if (is_full)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  msgpack_pack_array (&packer, count);
  jd_record_feed_each_after (feed, from, pack_record, &packer);
  GString *text = pack (&buffer);
  msgpack_sbuffer_destroy (&buffer);
  return text;
}
