#pragma once

#include <ev.h>
#include <glib.h>
#include <sys/types.h>

#include "stand_ins/published_store.h"
#include "stand_ins/shard_target.h"
#include "support/relay.h"

#define JD_LAB_HOSTS_MAX 240
#define JD_LAB_TARGETS_MAX 64
#define JD_LAB_KEY "Authorization: Token lab-key\r\n"
#define JD_LAB_GUEST_KEY "Authorization: Token guest-key\r\n"
#define JD_LAB_CLUB_KEY "Authorization: Token club-key\r\n"
/* A configuration with versioned routes has one for its own version and for as many
 * before it. */
#define JD_LAB_OLDER_ROUTES 2

/* A connection to a host that no call uses. */
typedef struct jd_lab_idle
{
  int fd;
  int64_t since_us;
} jd_lab_idle_t;

typedef struct jd_lab_host
{
  char ip[16];
  char zone[4];
  uint16_t callers_port;
  uint16_t readiness_port;
  uint16_t metrics_port;
  char *settings_path;
  pid_t pid;    /* 0: not running. */
  GArray *idle; /* jd_lab_idle_t: connections kept open, the last used one last. */
} jd_lab_host_t;

typedef struct jd_lab_target
{
  char id[16];
  char service[16];
  char zone[4];
  char address[32];   /* Where it listens. */
  char published[32]; /* Where hosts reach it. */
  uint32_t starts;
  uint32_t cold_ms; /* To publish with the next state; 0 after that. */
  jd_shard_target_t *target;
  jd_relay_t *relay; /* NULL without one. */
} jd_lab_target_t;

/* Processes of jackdaw-host on loopback addresses of their own, with a store, targets and
 * callers in the event loop of this process. Services: "shard-N" with one target in each
 * of two zones, and "studio" with two. Routes of shop.example: /search/ over all shards,
 * /fetch/ and /edit/ to studio. Keys lab-key and, if wanted, guest-key are of the tenant
 * school, club-key is of club. */
typedef struct jd_host_lab
{
  struct ev_loop *loop;
  jd_published_store_t *store;
  char store_address[32];
  uint16_t peer_port;
  uint32_t shards;
  uint32_t host_count;
  uint32_t target_count;
  int64_t version;
  bool has_key;
  bool has_guest_key;
  double rate_per_s;      /* Of school; 0: no limit. */
  bool has_club;          /* A second tenant. */
  double club_rate_per_s; /* 0: no limit. */
  double cold_per_s;      /* Requests a second that a cold target bears; 0: no limit. */
  bool versioned_routes;  /* Routes /vN/ to studio, see JD_LAB_OLDER_ROUTES. */
  bool keeps_connections; /* Callers use open connections again. */
  bool first_start;
  bool relays; /* Hosts reach targets through relays. */
  char *folder;
  jd_lab_host_t hosts[JD_LAB_HOSTS_MAX];
  jd_lab_target_t targets[JD_LAB_TARGETS_MAX];
} jd_host_lab_t;

/* The end of a call. */
typedef struct jd_lab_reply
{
  uint32_t status; /* 0: the connection ended without an answer, or time was over. */
  bool timed_out;
  bool close;       /* The host closes the connection after the answer. */
  bool stray_bytes; /* More than the answer came. */
  char *signatures;
  char *missing;
  char *retry_after;
  GString *body;
} jd_lab_reply_t;

typedef void (*jd_lab_done_t) (void *context, const jd_lab_reply_t *reply);

void jd_host_lab_open (jd_host_lab_t *lab, uint32_t hosts, uint32_t shards);
void jd_host_lab_close (jd_host_lab_t *lab);
void jd_host_lab_start_host (jd_host_lab_t *lab, uint32_t index);
int jd_host_lab_stop_host (jd_host_lab_t *lab, uint32_t index, int signal);
void jd_host_lab_publish_routes (jd_host_lab_t *lab);
void jd_host_lab_publish_target (jd_host_lab_t *lab, uint32_t index, const char *state);
void jd_host_lab_replace_target (jd_host_lab_t *lab, uint32_t index, uint32_t cold_ms);
void jd_host_lab_run (jd_host_lab_t *lab, double seconds);
bool jd_host_lab_wait_ready (jd_host_lab_t *lab, uint32_t index, double seconds);
void jd_host_lab_call_async (jd_host_lab_t *lab, uint32_t host, const char *request,
                             double seconds, jd_lab_done_t done, void *context);
jd_lab_reply_t *jd_host_lab_call (jd_host_lab_t *lab, uint32_t host, const char *request);
jd_lab_reply_t *jd_host_lab_metrics (jd_host_lab_t *lab, uint32_t host);
uint32_t jd_host_lab_ready_status (jd_host_lab_t *lab, uint32_t host);
void jd_lab_reply_free (jd_lab_reply_t *reply);
