#pragma once

#include "base/rng.h"
#include "config/config_store.h"
#include "membership/gossip_defs.h"

/* Gossip of record versions between processes: a state machine over the config store that
 * does no I/O and reads no clock. All times are microseconds of the process's own
 * monotonic clock. Not thread safe. See docs/design.md section 4.9. */
typedef struct jd_config_gossip jd_config_gossip_t;

/* Destination of a message: a peer's listed address or, if address is NULL, the sender of
 * the message that is being handled. */
typedef struct jd_gossip_route
{
  const char *address;
  const void *origin; /* Passed by the caller with the message; valid during the call. */
} jd_gossip_route_t;

typedef struct jd_gossip_hooks
{
  void (*send_digest) (void *context, const jd_gossip_route_t *to,
                       const jd_digest_t *digest);
  void (*send_push) (void *context, const jd_gossip_route_t *to,
                     const jd_record_push_t *push);
  void (*send_record_request) (void *context, const jd_gossip_route_t *to,
                               const jd_record_request_t *request);
  /* Starts to read a record from the platform; the caller passes the result to
   * jd_config_gossip_on_record. */
  void (*fetch) (void *context, const char *record);
  void *context;
} jd_gossip_hooks_t;

typedef struct jd_gossip_settings
{
  int64_t exchange_interval_us;      /* Between digest requests to a random peer. */
  int64_t join_interval_us;          /* The same interval until the process has joined. */
  int64_t join_timeout_us;           /* After this time one answer is enough to join. */
  int64_t record_request_timeout_us; /* Until a record is requested again. */
  int64_t poll_age_us;        /* Platform age from which a process polls the platform. */
  uint32_t push_fanout;       /* Peers that get a newly adopted version at once. */
  uint32_t join_answer_count; /* Peers that must have answered to join. */
  uint32_t push_max_bytes;    /* For longer records a notice is sent instead. */
} jd_gossip_settings_t;

typedef struct jd_gossip_options
{
  jd_config_store_t *store;
  const char *own_address;
  jd_rng_t rng;
  jd_gossip_settings_t settings;
  jd_gossip_hooks_t hooks;
} jd_gossip_options_t;

/* Platform age when the platform has never confirmed the keys. */
#define JD_PLATFORM_AGE_NEVER INT64_MAX

jd_gossip_settings_t jd_gossip_settings_default (void);
jd_config_gossip_t *jd_config_gossip_new (const jd_gossip_options_t *options,
                                          int64_t now_us);
void jd_config_gossip_free (jd_config_gossip_t *gossip);

/* Events. from->address is the peer's address if the message answers a request of this
 * process; otherwise it is NULL and from->origin is the destination of answers. */
void jd_config_gossip_tick (jd_config_gossip_t *gossip, int64_t now_us);
void jd_config_gossip_set_peers (jd_config_gossip_t *gossip, const char *const *addresses,
                                 uint32_t count);
void jd_config_gossip_on_digest (jd_config_gossip_t *gossip,
                                 const jd_gossip_route_t *from, const jd_digest_t *digest,
                                 int64_t now_us);
void jd_config_gossip_on_push (jd_config_gossip_t *gossip, const jd_record_push_t *push,
                               int64_t now_us);
void jd_config_gossip_on_record_request (jd_config_gossip_t *gossip,
                                         const jd_gossip_route_t *from,
                                         const jd_record_request_t *request);

/* Events of the platform. */
void jd_config_gossip_on_listing (jd_config_gossip_t *gossip,
                                  const jd_digest_entry_t *entries, uint32_t count,
                                  int64_t requested_us, int64_t now_us);
jd_adoption_t jd_config_gossip_on_record (jd_config_gossip_t *gossip, const char *record,
                                          const char *text, size_t length, int64_t now_us,
                                          GError **error);
void jd_config_gossip_on_platform_failure (jd_config_gossip_t *gossip, int64_t now_us);

/* Queries. */
int64_t jd_config_gossip_next_tick_us (const jd_config_gossip_t *gossip);
int64_t jd_config_gossip_platform_age_us (const jd_config_gossip_t *gossip,
                                          int64_t now_us);
gboolean jd_config_gossip_is_joined (const jd_config_gossip_t *gossip);
gboolean jd_config_gossip_should_poll (jd_config_gossip_t *gossip, int64_t now_us);
