#pragma once

#include "base/rng.h"
#include "config/config_store.h"
#include "membership/gossip_defs.h"

/* Spreads record versions between processes: a state machine over the config store,
 * without I/O and clock. All times are microseconds of the process's own monotonic
 * clock. Not thread safe. docs/design.md section 4.9. */
typedef struct jd_config_gossip jd_config_gossip_t;

/* Where a message goes: to a peer's listed address, or (address NULL) back to the sender
 * of the message that is being handled. */
typedef struct jd_gossip_route
{
  const char *address;
  const void *origin; /* What the caller passed with the message; valid in the call. */
} jd_gossip_route_t;

typedef struct jd_gossip_hooks
{
  void (*send_digest) (void *context, const jd_gossip_route_t *to,
                       const jd_digest_t *digest);
  void (*send_push) (void *context, const jd_gossip_route_t *to,
                     const jd_record_push_t *push);
  void (*send_ask) (void *context, const jd_gossip_route_t *to,
                    const jd_record_ask_t *ask);
  /* Reads a record from the platform; answered by jd_config_gossip_on_record. */
  void (*fetch) (void *context, const char *record);
  void *context;
} jd_gossip_hooks_t;

typedef struct jd_gossip_settings
{
  int64_t exchange_interval_us; /* Between digest exchanges with a random peer. */
  int64_t join_interval_us;     /* The same before the process has joined. */
  int64_t join_timeout_us;      /* After it one answer is enough to join. */
  int64_t ask_timeout_us;       /* Before a record is asked for again. */
  int64_t poll_age_us;          /* Platform age from which a process reads by itself. */
  uint32_t push_fanout;         /* Peers that hear of a new version at once. */
  uint32_t join_peers;          /* Answers from different peers that are enough. */
  uint32_t push_max_bytes;      /* Longer records are offered, not sent unasked. */
} jd_gossip_settings_t;

typedef struct jd_gossip_options
{
  jd_config_store_t *store;
  const char *own_address;
  jd_rng_t rng;
  jd_gossip_settings_t settings;
  jd_gossip_hooks_t hooks;
} jd_gossip_options_t;

/* Age of a process that never heard from the platform. */
#define JD_PLATFORM_AGE_NEVER INT64_MAX

jd_gossip_settings_t jd_gossip_settings_default (void);
jd_config_gossip_t *jd_config_gossip_new (const jd_gossip_options_t *options,
                                          int64_t now_us);
void jd_config_gossip_free (jd_config_gossip_t *gossip);

/* Events. from_address is the peer when it answers a request of this process, else
 * NULL with an origin for answers. */
void jd_config_gossip_tick (jd_config_gossip_t *gossip, int64_t now_us);
void jd_config_gossip_set_peers (jd_config_gossip_t *gossip, const char *const *addresses,
                                 uint32_t count);
void jd_config_gossip_on_digest (jd_config_gossip_t *gossip,
                                 const jd_gossip_route_t *from, const jd_digest_t *digest,
                                 int64_t now_us);
void jd_config_gossip_on_push (jd_config_gossip_t *gossip, const jd_record_push_t *push,
                               int64_t now_us);
void jd_config_gossip_on_ask (jd_config_gossip_t *gossip, const jd_gossip_route_t *from,
                              const jd_record_ask_t *ask);

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
