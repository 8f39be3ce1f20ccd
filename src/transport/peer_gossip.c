#include "transport/peer_gossip.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log_event.h"
#include "membership/peer_spread.h"
#include "transport/socket_address.h"
#include "transport/wire_reader.h"

/* Planned size of a datagram, below the Ethernet MTU of 1500 bytes. */
#define DATAGRAM_BYTES 1400
/* First field of a message: its kind and the version of its format. */
#define MESSAGE_STATE 5
#define MESSAGE_ADMISSIONS 3
#define MESSAGE_HINTS 4
/* A message of another kind follows, from the host of which the address is the second
 * field: to a relay, which forwards it to the hosts of its zone, and from a relay. */
#define MESSAGE_RELAY 6
#define MESSAGE_FORWARDED 7
/* What a state message says of the store: the host reads it, its last read failed. */
#define STORE_READS 1U
#define STORE_FAILED 2U
#define HOSTS_MAX 4096
/* Addresses of live hosts in one state message; successive messages list different ones.
 * A host lists them in each message of its first FULL_RATE_PERIOD_US and later in one of
 * PEER_ADDRESSES_EVERY messages, because traffic between zones is billed. */
#define PEER_ADDRESSES_MAX 24
#define PEER_ADDRESSES_EVERY 8
#define REPORTS_MAX 40
/* Services with extra attempts in one state message. */
#define EXTRAS_MAX 64
/* Targets that reject requests, in one state message. */
#define REJECTIONS_MAX 24
/* From this many unreported rejections on, a host sends its state before it is due, but
 * not more often than EARLY_STATES times as often. */
#define REJECTIONS_EARLY_MIN 8
#define EARLY_STATES 4
/* Targets in one message of hints. */
#define HINTS_MAX 100
/* Interval of hints about targets whose health changed. */
#define HINTS_INTERVAL_S 0.1
/* A message carries the latency ratio of a target as an integer in steps of
 * 1 / LATENCY_RATIO_SCALE. */
#define LATENCY_RATIO_SCALE 10.0
#define DATAGRAMS_PER_WAKEUP 64
/* Up to this many hosts send at the configured interval. In a larger fleet the interval
 * grows with the number of hosts, so that a host receives no more than this many state
 * messages per configured interval. */
#define FULL_RATE_HOSTS 24
/* Admitted requests are reported in short messages of their own, so that the other hosts
 * receive them before a tenant exceeds its rate. One message covers the admissions of
 * this time. */
#define ADMISSIONS_DELAY_S 0.025
/* A host that reads the store sends its state at least this often, because other hosts
 * copy its records only while they know how old these are. */
#define READER_INTERVAL_US (JD_US_PER_S)
/* A host sends at the configured interval for this long after its start, so that the
 * limits which hosts share soon include it. */
#define FULL_RATE_PERIOD_US (3 * JD_US_PER_S)
/* A state message that announces a shutdown is sent more than once, because datagrams can
 * be lost. */
#define LEAVING_COPIES 2

struct jd_peer_gossip
{
  jd_peer_gossip_options_t options;
  int fd;
  ev_io io;
  ev_timer state_timer;
  ev_timer admissions_timer;
  ev_timer hints_timer;
  uint64_t sequence;
  jd_philox_t random;
  jd_peer_gossip_counts_t counts;
  uint32_t own_ip;
  bool reads_store; /* This host did when it sent its last state message. */
  uint32_t peer_address_offset;
  int64_t started_us;
  int64_t last_sent_us;
  int64_t interval_us; /* Of state messages. */
};

/* Packs the state of this host, in the order of read_state (). */
static void
pack_state (msgpack_packer *packer, const jd_peer_state_t *state)
{
  msgpack_pack_uint32 (packer, state->ip);
  msgpack_pack_uint64 (packer, state->incarnation);
  msgpack_pack_uint64 (packer, state->sequence);
  msgpack_pack_str_with_body (packer, state->name, strlen (state->name));
  msgpack_pack_str_with_body (packer, state->zone, strlen (state->zone));
  msgpack_pack_uint8 (packer, state->leaving);
  msgpack_pack_uint8 (packer, (state->reads_store ? STORE_READS : 0) |
                                  (state->store_failed ? STORE_FAILED : 0));
  msgpack_pack_int64 (packer, state->feed_revision);
  msgpack_pack_int64 (packer, state->changed_revision);
  msgpack_pack_int64 (packer, state->tombstones_since);
  msgpack_pack_int64 (packer, state->feed_age_us);
}

/* Packs some of the addresses of live hosts, or an empty array if this message lists
 * none. */
static void
pack_peer_addresses (jd_peer_gossip_t *gossip, msgpack_packer *packer, int64_t now_us)
{
  uint32_t ips[HOSTS_MAX];
  uint32_t count = jd_peer_table_live_ips (gossip->options.peers, ips, HOSTS_MAX, now_us);
  bool lists_peers = now_us - gossip->started_us < FULL_RATE_PERIOD_US ||
                     gossip->sequence % PEER_ADDRESSES_EVERY == 0;
  uint32_t listed = lists_peers ? MIN (count, PEER_ADDRESSES_MAX) : 0;
  msgpack_pack_array (packer, listed);
  for (uint32_t i = 0; i < listed; i++)
    msgpack_pack_uint32 (packer, ips[(gossip->peer_address_offset + i) % count]);
  gossip->peer_address_offset += listed;
}

/* Packs the quota reports of this host. Rates are in 0.01 requests per second. */
static void
pack_reports (jd_peer_gossip_t *gossip, msgpack_packer *packer, int64_t now_us)
{
  jd_quota_report_t reports[REPORTS_MAX];
  uint32_t count =
      jd_fleet_quota_reports (gossip->options.quota, reports, REPORTS_MAX, now_us);
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_uint64 (packer, reports[i].tenant_hash);
      msgpack_pack_uint64 (packer, reports[i].admitted);
      msgpack_pack_uint32 (packer, (uint32_t)(reports[i].demand_per_s * 100.0));
      msgpack_pack_uint32 (packer, (uint32_t)(reports[i].admitted_per_s * 100.0));
    }
}

/* Packs the extra attempts of this host, by service, since the last state message. */
static void
pack_extras (jd_peer_gossip_t *gossip, msgpack_packer *packer)
{
  jd_extra_report_t reports[EXTRAS_MAX];
  uint32_t count =
      jd_extra_reports_collect (gossip->options.registry, reports, EXTRAS_MAX);
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_uint32 (packer, reports[i].service_hash);
      msgpack_pack_uint32 (packer, reports[i].count);
    }
}

/* Packs the answers, since the last state message, of targets that reject requests
 * although they have free slots. */
static void
pack_rejections (jd_peer_gossip_t *gossip, msgpack_packer *packer)
{
  jd_rejection_report_t reports[REJECTIONS_MAX];
  uint32_t count =
      jd_rejection_reports_collect (gossip->options.registry, reports, REJECTIONS_MAX);
  msgpack_pack_array (packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_uint32 (packer, reports[i].target_hash);
      msgpack_pack_uint32 (packer, reports[i].count.answers);
      msgpack_pack_uint32 (packer, reports[i].count.rejections);
    }
}

/* Sends a message to a host; one that cannot be sent is lost. */
static void
send_to (jd_peer_gossip_t *gossip, const msgpack_sbuffer *message, uint32_t ip)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (gossip->options.port),
    .sin_addr = { .s_addr = htonl (ip) },
  };
  if (sendto (gossip->fd, message->data, message->size, 0, (struct sockaddr *)&address,
              sizeof (address)) < 0 &&
      errno != EAGAIN)
    jd_log_event (G_LOG_LEVEL_DEBUG, "gossip_send_failed", "error=%s",
                  g_strerror (errno));
  gossip->counts.sent++;
  gossip->counts.sent_bytes += message->size;
}

/* Writes a message of the kind MESSAGE_RELAY or MESSAGE_FORWARDED around another one, of
 * the host with origin_ip. The caller destroys the buffer. */
static void
wrap_message (msgpack_sbuffer *wrapped, uint8_t kind, uint32_t origin_ip,
              const char *bytes, size_t size)
{
  msgpack_packer packer;
  msgpack_sbuffer_init (wrapped);
  msgpack_packer_init (&packer, wrapped, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, kind);
  msgpack_pack_uint32 (&packer, origin_ip);
  msgpack_sbuffer_write (wrapped, bytes, size);
}

/* Sends a message of this host to all live hosts, to those of other zones by relays. */
static void
send_to_live (jd_peer_gossip_t *gossip, const msgpack_sbuffer *message, int64_t now_us)
{
  jd_peer_receiver_t receivers[HOSTS_MAX];
  jd_rng_t rng = jd_philox_rng (&gossip->random);
  uint32_t count =
      jd_peer_spread_choose (gossip->options.peers, &rng, receivers, HOSTS_MAX, now_us);
  msgpack_sbuffer relayed;
  wrap_message (&relayed, MESSAGE_RELAY, gossip->own_ip, message->data, message->size);
  for (uint32_t i = 0; i < count; i++)
    send_to (gossip, receivers[i].is_relay ? &relayed : message, receivers[i].ip);
  msgpack_sbuffer_destroy (&relayed);
}

/* Sends a message to the hosts that are not live and are due for one. */
static void
send_to_silent (jd_peer_gossip_t *gossip, const msgpack_sbuffer *message, int64_t now_us)
{
  uint32_t ips[HOSTS_MAX];
  uint32_t count = jd_peer_table_due_ips (gossip->options.peers, ips, HOSTS_MAX, now_us);
  for (uint32_t i = 0; i < count; i++)
    {
      if (!jd_peer_table_is_live (gossip->options.peers, ips[i], now_us))
        send_to (gossip, message, ips[i]);
    }
}

/* Sends the state of this host to all hosts that are due for a message. */
void
jd_peer_gossip_send_state (jd_peer_gossip_t *gossip)
{
  int64_t now_us = jd_monotonic_us ();
  jd_peer_state_t state = { 0 };
  gossip->options.fill_state (gossip->options.context, &state);
  gossip->last_sent_us = now_us;
  gossip->own_ip = state.ip;
  gossip->reads_store = state.reads_store;
  state.sequence = ++gossip->sequence;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, MESSAGE_STATE);
  pack_state (&packer, &state);
  pack_peer_addresses (gossip, &packer, now_us);
  pack_reports (gossip, &packer, now_us);
  pack_extras (gossip, &packer);
  pack_rejections (gossip, &packer);
  uint32_t copies = state.leaving ? LEAVING_COPIES : 1;
  for (uint32_t i = 0; i < copies; i++)
    send_to_live (gossip, &buffer, now_us);
  send_to_silent (gossip, &buffer, now_us);
  msgpack_sbuffer_destroy (&buffer);
}

/* Timer callback: reports the unreported admissions to all live hosts. */
static void
on_admissions_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_peer_gossip_t *gossip = timer->data;
  if (!jd_fleet_quota_has_unreported (gossip->options.quota))
    return;
  int64_t now_us = jd_monotonic_us ();
  jd_peer_state_t state = { 0 };
  gossip->options.fill_state (gossip->options.context, &state);
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, MESSAGE_ADMISSIONS);
  msgpack_pack_uint32 (&packer, state.ip);
  msgpack_pack_uint64 (&packer, state.incarnation);
  pack_reports (gossip, &packer, now_us);
  send_to_live (gossip, &buffer, now_us);
  msgpack_sbuffer_destroy (&buffer);
}

/* Timer callback: sends hints about targets that are slow, fail or have recovered to all
 * live hosts. */
static void
on_hints_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_peer_gossip_t *gossip = timer->data;
  jd_target_hint_t hints[HINTS_MAX];
  int64_t now_us = jd_monotonic_us ();
  if (now_us - gossip->last_sent_us >= gossip->interval_us / EARLY_STATES &&
      jd_rejection_reports_pending (gossip->options.registry) >= REJECTIONS_EARLY_MIN)
    jd_peer_gossip_send_state (gossip);
  uint32_t count =
      jd_target_hints_collect (gossip->options.registry, hints, HINTS_MAX, now_us);
  if (count == 0)
    return;
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_uint8 (&packer, MESSAGE_HINTS);
  msgpack_pack_array (&packer, count);
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_pack_uint32 (&packer, hints[i].target_hash);
      msgpack_pack_uint32 (&packer,
                           (uint32_t)(hints[i].latency_ratio * LATENCY_RATIO_SCALE));
    }
  send_to_live (gossip, &buffer, now_us);
  msgpack_sbuffer_destroy (&buffer);
}

/* Schedules a report of admissions, after a request of a tenant was admitted. */
void
jd_peer_gossip_schedule_admissions (jd_peer_gossip_t *gossip)
{
  if (ev_is_active (&gossip->admissions_timer))
    return;
  ev_timer_set (&gossip->admissions_timer, ADMISSIONS_DELAY_S, 0.0);
  ev_timer_start (gossip->options.loop, &gossip->admissions_timer);
}

/* Reads the state of another host, in the order of pack_state (). */
static void
read_state (jd_wire_reader_t *reader, jd_peer_state_t *state)
{
  state->ip = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  state->incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  state->sequence = jd_wire_read_unsigned (reader, UINT64_MAX);
  jd_wire_read_name (reader, state->name);
  jd_wire_read_name (reader, state->zone);
  state->leaving = jd_wire_read_unsigned (reader, 1) != 0;
  uint64_t store_flags = jd_wire_read_unsigned (reader, STORE_READS | STORE_FAILED);
  state->reads_store = (store_flags & STORE_READS) != 0;
  state->store_failed = (store_flags & STORE_FAILED) != 0;
  state->feed_revision = jd_wire_read_signed (reader);
  state->changed_revision = jd_wire_read_signed (reader);
  state->tombstones_since = jd_wire_read_signed (reader);
  state->feed_age_us = jd_wire_read_signed (reader);
}

/* Reads up to REPORTS_MAX quota reports and returns their number. */
static uint32_t
read_reports (jd_wire_reader_t *reader, jd_quota_report_t *reports)
{
  uint32_t count = jd_wire_read_array (reader, REPORTS_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      reports[i].tenant_hash = jd_wire_read_unsigned (reader, UINT64_MAX);
      reports[i].admitted = jd_wire_read_unsigned (reader, UINT64_MAX);
      reports[i].demand_per_s =
          (double)jd_wire_read_unsigned (reader, UINT32_MAX) / 100.0;
      reports[i].admitted_per_s =
          (double)jd_wire_read_unsigned (reader, UINT32_MAX) / 100.0;
    }
  return count;
}

/* Applies the quota reports of a host; incarnation identifies its process. */
static void
apply_reports (jd_peer_gossip_t *gossip, uint64_t ip, uint64_t incarnation,
               const jd_quota_report_t *reports, uint32_t count, int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    jd_fleet_quota_apply_report (gossip->options.quota, ip, incarnation, &reports[i],
                                 now_us);
}

/* Reads up to REJECTIONS_MAX reports of rejecting targets and returns their number.
 * Messages of hosts that do not learn rejections end before them. */
static uint32_t
read_rejections (jd_wire_reader_t *reader, jd_rejection_report_t *reports)
{
  if (reader->failure || reader->offset_bytes == reader->length_bytes)
    return 0;
  uint32_t count = jd_wire_read_array (reader, REJECTIONS_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      reports[i].target_hash = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
      reports[i].count.answers = (uint32_t)jd_wire_read_unsigned (reader, UINT16_MAX);
      reports[i].count.rejections = (uint32_t)jd_wire_read_unsigned (reader, UINT16_MAX);
    }
  return count;
}

/* Handles a state message that came from an address. A malformed message, one of another
 * host than the sender, and one that the peer table rejects change nothing. */
static void
handle_state (jd_peer_gossip_t *gossip, jd_wire_reader_t *reader, uint32_t sender_ip)
{
  jd_peer_state_t state = { 0 };
  uint32_t peer_ips[PEER_ADDRESSES_MAX] = { 0 };
  jd_quota_report_t reports[REPORTS_MAX] = { { 0 } };
  read_state (reader, &state);
  uint32_t peer_ip_count = jd_wire_read_array (reader, PEER_ADDRESSES_MAX);
  for (uint32_t i = 0; i < peer_ip_count; i++)
    peer_ips[i] = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  uint32_t report_count = read_reports (reader, reports);
  jd_extra_report_t extras[EXTRAS_MAX] = { { 0 } };
  uint32_t extra_count = jd_wire_read_array (reader, EXTRAS_MAX);
  for (uint32_t i = 0; i < extra_count; i++)
    {
      extras[i].service_hash = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
      extras[i].count = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
    }
  jd_rejection_report_t rejections[REJECTIONS_MAX] = { { 0 } };
  uint32_t rejection_count = read_rejections (reader, rejections);
  int64_t now_us = jd_monotonic_us ();
  if (!reader->failure && state.ip != sender_ip)
    jd_wire_reader_fail (reader, "address is not that of the sender");
  if (reader->failure || !jd_peer_table_update (gossip->options.peers, &state, now_us))
    return;
  for (uint32_t i = 0; i < peer_ip_count; i++)
    jd_peer_table_add (gossip->options.peers, peer_ips[i], now_us);
  apply_reports (gossip, state.ip, state.incarnation, reports, report_count, now_us);
  jd_extra_reports_apply (gossip->options.registry, extras, extra_count, now_us);
  jd_rejection_reports_apply (gossip->options.registry, rejections, rejection_count,
                              now_us);
  jd_fleet_quota_record_heartbeat (gossip->options.quota, state.ip, state.incarnation,
                                   now_us);
  gossip->options.on_state_received (gossip->options.context);
}

/* Handles a report of admissions. A report from a process that has sent no state message
 * yet is ignored, because it cannot be distinguished from a late message of an earlier
 * process. Its first state message reports them. */
static void
handle_admissions (jd_peer_gossip_t *gossip, jd_wire_reader_t *reader)
{
  jd_quota_report_t reports[REPORTS_MAX] = { { 0 } };
  uint64_t ip = jd_wire_read_unsigned (reader, UINT32_MAX);
  uint64_t incarnation = jd_wire_read_unsigned (reader, UINT64_MAX);
  uint32_t count = read_reports (reader, reports);
  if (!reader->failure &&
      jd_fleet_quota_has_host (gossip->options.quota, ip, incarnation))
    apply_reports (gossip, ip, incarnation, reports, count, jd_monotonic_us ());
}

/* Handles a message of hints about targets. */
static void
handle_hints (jd_peer_gossip_t *gossip, jd_wire_reader_t *reader)
{
  jd_target_hint_t hints[HINTS_MAX] = { { 0 } };
  uint32_t count = jd_wire_read_array (reader, HINTS_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      hints[i].target_hash = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
      hints[i].latency_ratio =
          (double)jd_wire_read_unsigned (reader, UINT32_MAX) / LATENCY_RATIO_SCALE;
    }
  if (!reader->failure)
    jd_target_hints_apply (gossip->options.registry, hints, count, jd_monotonic_us ());
}

/* Handles a message of the host with origin_ip, from its kind on. */
static void
handle_message (jd_peer_gossip_t *gossip, jd_wire_reader_t *reader, uint64_t kind,
                uint32_t origin_ip)
{
  switch (kind)
    {
    case MESSAGE_STATE:
      handle_state (gossip, reader, origin_ip);
      break;
    case MESSAGE_ADMISSIONS:
      handle_admissions (gossip, reader);
      break;
    case MESSAGE_HINTS:
      handle_hints (gossip, reader);
      break;
    default:
      jd_wire_reader_fail (reader, "unknown message kind or format version");
    }
}

/* Handles a message around another one, and forwards that one to the hosts of this zone
 * if this host is its relay. A relayed message comes from its origin, and a forwarded one
 * from a live host, because the origin cannot be verified. */
static void
handle_wrapped (jd_peer_gossip_t *gossip, jd_wire_reader_t *reader, bool is_relay,
                uint32_t sender_ip)
{
  uint32_t origin_ip = (uint32_t)jd_wire_read_unsigned (reader, UINT32_MAX);
  size_t header_bytes = reader->offset_bytes;
  uint64_t kind = jd_wire_read_unsigned (reader, UINT8_MAX);
  int64_t now_us = jd_monotonic_us ();
  if (!reader->failure && is_relay && origin_ip != sender_ip)
    jd_wire_reader_fail (reader, "address is not that of the sender");
  if (!is_relay && !jd_peer_table_is_live (gossip->options.peers, sender_ip, now_us))
    return;
  handle_message (gossip, reader, kind, origin_ip);
  if (reader->failure || !is_relay)
    return;
  msgpack_sbuffer forwarded;
  wrap_message (&forwarded, MESSAGE_FORWARDED, origin_ip, reader->bytes + header_bytes,
                reader->length_bytes - header_bytes);
  uint32_t ips[HOSTS_MAX];
  uint32_t count = jd_peer_table_zone_ips (gossip->options.peers, ips, HOSTS_MAX, now_us);
  for (uint32_t i = 0; i < count; i++)
    {
      if (ips[i] == origin_ip)
        continue;
      send_to (gossip, &forwarded, ips[i]);
      gossip->counts.forwarded++;
    }
  msgpack_sbuffer_destroy (&forwarded);
}

/* Handles one datagram. An unreadable one is logged and ignored. */
static void
handle_datagram (jd_peer_gossip_t *gossip, const char *bytes, size_t size,
                 uint32_t sender_ip)
{
  jd_wire_reader_t reader;
  jd_wire_reader_init (&reader, bytes, size);
  uint64_t kind = jd_wire_read_unsigned (&reader, UINT8_MAX);
  if (kind == MESSAGE_RELAY || kind == MESSAGE_FORWARDED)
    handle_wrapped (gossip, &reader, kind == MESSAGE_RELAY, sender_ip);
  else
    handle_message (gossip, &reader, kind, sender_ip);
  if (reader.failure)
    jd_log_event (G_LOG_LEVEL_WARNING, "gossip_unreadable", "cause=\"%s\" bytes=%zu",
                  reader.failure, size);
  jd_wire_reader_clear (&reader);
}

/* Event loop callback: reads the received datagrams, up to a limit per wake-up. */
static void
on_datagram (struct ev_loop *loop, ev_io *io, int events)
{
  jd_peer_gossip_t *gossip = io->data;
  char bytes[2 * DATAGRAM_BYTES];
  for (uint32_t i = 0; i < DATAGRAMS_PER_WAKEUP; i++)
    {
      struct sockaddr_in sender = { 0 };
      socklen_t sender_size = sizeof (sender);
      ssize_t size = recvfrom (gossip->fd, bytes, sizeof (bytes), 0,
                               (struct sockaddr *)&sender, &sender_size);
      if (size < 0)
        return;
      handle_datagram (gossip, bytes, (size_t)size, ntohl (sender.sin_addr.s_addr));
    }
}

/* Timer callback: removes expired peers, sends the state of this host unless that was
 * done recently, and adjusts the interval to the number of hosts. */
static void
on_state_due (struct ev_loop *loop, ev_timer *timer, int events)
{
  jd_peer_gossip_t *gossip = timer->data;
  int64_t now_us = jd_monotonic_us ();
  jd_peer_table_expire (gossip->options.peers, now_us);
  uint32_t host_count = jd_peer_table_host_count (gossip->options.peers, now_us);
  /* Interval of the other hosts, as far as they have been running for some time. */
  int64_t fleet_interval_us = (int64_t)(gossip->options.interval_s * (double)JD_US_PER_S *
                                        MAX ((double)host_count / FULL_RATE_HOSTS, 1.0));
  jd_peer_table_set_interval (gossip->options.peers, fleet_interval_us);
  jd_fleet_quota_set_interval (gossip->options.quota, fleet_interval_us);
  bool is_new = now_us - gossip->started_us < FULL_RATE_PERIOD_US;
  int64_t interval_us = is_new
                            ? (int64_t)(gossip->options.interval_s * (double)JD_US_PER_S)
                            : fleet_interval_us;
  gossip->interval_us = interval_us;
  if (gossip->reads_store)
    interval_us = MIN (interval_us, READER_INTERVAL_US);
  if (now_us - gossip->last_sent_us >= interval_us - interval_us / 8)
    jd_peer_gossip_send_state (gossip);
  timer->repeat = (double)interval_us / (double)JD_US_PER_S;
  ev_timer_again (loop, timer);
}

/* Binds the socket and starts to send and receive. The options are copied; the objects
 * in them must outlive the gossip, the address need not. Returns NULL and sets error if
 * the socket cannot be bound. */
jd_peer_gossip_t *
jd_peer_gossip_new (const jd_peer_gossip_options_t *options, GError **error)
{
  int fd = jd_socket_listen (options->address, SOCK_DGRAM, 0, error);
  if (fd < 0)
    return NULL;
  jd_peer_gossip_t *gossip = g_new0 (jd_peer_gossip_t, 1);
  gossip->options = *options;
  gossip->fd = fd;
  gossip->started_us = jd_monotonic_us ();
  gossip->random.seed = jd_entropy ();
  ev_io_init (&gossip->io, on_datagram, fd, EV_READ);
  gossip->io.data = gossip;
  ev_io_start (options->loop, &gossip->io);
  ev_timer_init (&gossip->state_timer, on_state_due, 0.0, options->interval_s);
  gossip->state_timer.data = gossip;
  ev_timer_start (options->loop, &gossip->state_timer);
  ev_init (&gossip->admissions_timer, on_admissions_due);
  gossip->admissions_timer.data = gossip;
  ev_timer_init (&gossip->hints_timer, on_hints_due, HINTS_INTERVAL_S, HINTS_INTERVAL_S);
  gossip->hints_timer.data = gossip;
  ev_timer_start (options->loop, &gossip->hints_timer);
  return gossip;
}

/* Stops all timers, closes the socket and frees the gossip. */
void
jd_peer_gossip_free (jd_peer_gossip_t *gossip)
{
  ev_io_stop (gossip->options.loop, &gossip->io);
  ev_timer_stop (gossip->options.loop, &gossip->state_timer);
  ev_timer_stop (gossip->options.loop, &gossip->admissions_timer);
  ev_timer_stop (gossip->options.loop, &gossip->hints_timer);
  close (gossip->fd);
  g_free (gossip);
}

/* Returns the counts of messages since the start. */
jd_peer_gossip_counts_t
jd_peer_gossip_counts (const jd_peer_gossip_t *gossip)
{
  return gossip->counts;
}
