#pragma once

#include <ev.h>
#include <glib.h>
#include <sys/types.h>

#include "stand_ins/published_store.h"
#include "stand_ins/shard_target.h"
#include "support/relay.h"

#define JD_HOST_FIXTURE_HOSTS_MAX 240
#define JD_HOST_FIXTURE_TARGETS_MAX 64
#define JD_HOST_FIXTURE_KEY "Authorization: Token lab-key\r\n"
#define JD_HOST_FIXTURE_GUEST_KEY "Authorization: Token guest-key\r\n"
#define JD_HOST_FIXTURE_CLUB_KEY "Authorization: Token club-key\r\n"
/* A configuration with versioned routes has a route for its own version and one for each
 * of this many versions before it. */
#define JD_HOST_FIXTURE_OLDER_ROUTES 2

/* An idle connection to a host. */
typedef struct jd_host_fixture_connection
{
  int fd;
  int64_t since_us; /* Monotonic time when it became idle. */
} jd_host_fixture_connection_t;

typedef struct jd_host_fixture_host
{
  char ip[16];
  char zone[4];
  uint16_t callers_port;
  uint16_t readiness_port;
  uint16_t metrics_port;
  char *settings_path;
  pid_t pid;                /* 0: not running. */
  GArray *idle_connections; /* jd_host_fixture_connection_t, the last used one last. */
} jd_host_fixture_host_t;

typedef struct jd_host_fixture_target
{
  char id[16];
  char service[16];
  char zone[4];
  char address[32];           /* Address on which it listens. */
  char published_address[32]; /* Address that its record gives to hosts. */
  uint32_t replacement_count; /* Number of replacements. */
  uint32_t write_count;       /* Records that this process of it has published. */
  uint32_t cold_ms;           /* Cold time in the next published record; 0 after it. */
  jd_shard_target_t *target;
  jd_relay_t *relay; /* NULL: hosts connect directly. */
} jd_host_fixture_target_t;

/* Processes of jackdaw-host, each on a loopback address of its own, with a store, targets
 * and callers in the event loop of this process. Services: "shard-N" and "studio", each
 * with one target in each of two zones. Routes of shop.example: /search/ over all shards,
 * /fetch/ and /edit/ to studio. The API keys lab-key (has_key) and guest-key
 * (has_guest_key) belong to the tenant school, club-key to the tenant club (has_club). */
typedef struct jd_host_fixture
{
  struct ev_loop *loop;
  jd_published_store_t *store;
  char store_address[32];
  uint16_t peer_port;
  uint32_t shard_count;
  uint32_t host_count;
  uint32_t target_count;
  int64_t version;
  bool has_key;
  bool has_guest_key;
  double school_rate_per_s; /* Rate limit of the tenant school; 0: none. */
  bool has_club;            /* Configures a second tenant, club. */
  double club_rate_per_s;   /* Rate limit of the tenant club; 0: none. */
  double cold_rate_per_s;   /* Rate limit of a cold target; 0: none. */
  bool versioned_routes; /* Adds routes /vN/ to studio, see JD_HOST_FIXTURE_OLDER_ROUTES.
                          */
  bool reuses_connections;  /* Calls reuse idle connections. */
  bool first_start;         /* Value of first-start in the settings of started hosts. */
  uint32_t memory_mb;       /* Memory limit of started hosts; 0: the default. */
  int32_t route_timeout_ms; /* Time limit of all routes; 0: 2 s. */
  bool has_one_zone;        /* All hosts are in zone a; otherwise in two by turns. */
  bool uses_relays;         /* Hosts connect to targets through relays. */
  char *directory;          /* Temporary directory of the settings files. */
  jd_host_fixture_host_t hosts[JD_HOST_FIXTURE_HOSTS_MAX];
  jd_host_fixture_target_t targets[JD_HOST_FIXTURE_TARGETS_MAX];
} jd_host_fixture_t;

/* The result of a call. The texts are NULL if the reply has no such header. */
typedef struct jd_host_fixture_reply
{
  uint32_t status; /* 0: the connection failed, or the call timed out. */
  bool timed_out;
  bool closes_connection; /* The host closes the connection after the reply. */
  bool has_extra_bytes;   /* Bytes followed the reply. */
  char *stamps;           /* X-Part-Stamps, or X-Server-Stamp without it. */
  char *missing_parts;    /* X-Missing-Parts */
  char *retry_after;      /* Retry-After */
  GString *body;
} jd_host_fixture_reply_t;

typedef void (*jd_host_fixture_done_t) (void *context,
                                        const jd_host_fixture_reply_t *reply);

void jd_host_fixture_open (jd_host_fixture_t *fixture, uint32_t hosts, uint32_t shards);
void jd_host_fixture_close (jd_host_fixture_t *fixture);
void jd_host_fixture_start_host (jd_host_fixture_t *fixture, uint32_t index);
int jd_host_fixture_stop_host (jd_host_fixture_t *fixture, uint32_t index, int signal);
void jd_host_fixture_publish_config (jd_host_fixture_t *fixture);
void jd_host_fixture_publish_target (jd_host_fixture_t *fixture, uint32_t index,
                                     const char *state);
void jd_host_fixture_restart_target (jd_host_fixture_t *fixture, uint32_t index);
void jd_host_fixture_replace_target (jd_host_fixture_t *fixture, uint32_t index,
                                     uint32_t cold_ms);
void jd_host_fixture_run (jd_host_fixture_t *fixture, double seconds);
bool jd_host_fixture_wait_ready (jd_host_fixture_t *fixture, uint32_t index,
                                 double seconds);
void jd_host_fixture_call_async (jd_host_fixture_t *fixture, uint32_t host,
                                 const char *request, double seconds,
                                 jd_host_fixture_done_t done, void *context);
jd_host_fixture_reply_t *jd_host_fixture_call (jd_host_fixture_t *fixture, uint32_t host,
                                               const char *request);
jd_host_fixture_reply_t *jd_host_fixture_metrics (jd_host_fixture_t *fixture,
                                                  uint32_t host);
uint32_t jd_host_fixture_ready_status (jd_host_fixture_t *fixture, uint32_t host);
void jd_host_fixture_reply_free (jd_host_fixture_reply_t *reply);
