#pragma once

#include "base/rng.h"
#include "support/host_lab.h"

/* Bounds that the platform states for its machines; see docs/design.md, 1.2. */
#define JD_SOAK_TOUCH_US (4 * JD_US_PER_S) /* Calm time after which bounds hold. */
#define JD_SOAK_APPLY_US (3 * JD_US_PER_S) /* A configuration is in force. */
#define JD_SOAK_DRAIN_US (3 * JD_US_PER_S) /* A leaving target gets nothing more. */
#define JD_SOAK_ROLLBACK_US (250 * JD_US_PER_MS)
#define JD_SOAK_GRACE_US (6 * JD_US_PER_S) /* From SIGTERM to the end of a process. */
#define JD_SOAK_COLD_MS 3000U
#define JD_SOAK_COLD_PER_S 10.0
#define JD_SOAK_COLD_LIMIT 20U /* In one second: 1.5 times the rate, and 5. */
#define JD_SOAK_CLUB_PER_S 8.0
#define JD_SOAK_CLUB_LIMIT                                                               \
  80U /* In 5 s: 1.25 times (5 s of the rate, and its burst), 20. */
#define JD_SOAK_CLUB_WINDOW_US (5 * JD_US_PER_S)
#define JD_SOAK_ATTEMPTS 2U /* Of one request at each service. */

#define JD_SOAK_WINDOW_MAX 128U

/* The last times at which something happened. */
typedef struct jd_soak_window
{
  int64_t times_us[JD_SOAK_WINDOW_MAX];
  uint32_t count;
} jd_soak_window_t;

typedef enum jd_soak_key
{
  JD_SOAK_KEY_LAB,
  JD_SOAK_KEY_GUEST, /* Given and taken away by the configuration. */
  JD_SOAK_KEY_CLUB,  /* Of a tenant with a rate. */
} jd_soak_key_t;

typedef enum jd_soak_kind
{
  JD_SOAK_SEARCH,
  JD_SOAK_FETCH,
  JD_SOAK_EDIT,
  JD_SOAK_PROBE, /* On a route that only some versions of the configuration have. */
} jd_soak_kind_t;

typedef struct jd_soak jd_soak_t;

/* A request; kept to the end of the run, because it may reach targets late. */
typedef struct jd_soak_call
{
  jd_soak_t *soak;
  char id[24];
  uint32_t host;
  jd_soak_kind_t kind;
  jd_soak_key_t key;
  int64_t probed_version;
  uint32_t host_start; /* Which start of the host it was sent to. */
  bool counted;        /* Towards the rate of its tenant. */
  int64_t sent_us;
} jd_soak_call_t;

typedef struct jd_soak_host
{
  int64_t resume_us;  /* When a paused one goes on; 0: runs. */
  int64_t restart_us; /* When a stopped one starts again. */
  bool stopping;
  uint32_t starts;
  int64_t disturbed_us; /* Last kill, stop, pause or start. */
  int64_t harmed_us;    /* Last kill or pause. */
  int64_t term_us;      /* Last SIGTERM. */
  int64_t version;      /* Of the configuration: no older one may be in force again. */
  int64_t version_us;   /* When its answer showed that. */
} jd_soak_host_t;

typedef struct jd_soak_target
{
  int64_t left_us; /* When it was published as leaving; 0: it is in use. */
  int64_t cold_until_us;
  jd_soak_window_t cold; /* Arrivals while cold. */
} jd_soak_target_t;

struct jd_soak
{
  jd_host_lab_t lab;
  jd_philox_t random;
  jd_rng_t rng;
  int64_t start_us;
  uint32_t kinds; /* Bit N: faults of kind N are played. */
  jd_soak_host_t hosts[JD_LAB_HOSTS_MAX];
  jd_soak_target_t targets[JD_LAB_TARGETS_MAX];
  GPtrArray *calls;     /* jd_soak_call_t, by number */
  GArray *published_us; /* When each version of the configuration was published. */
  int64_t guest_changed_us;
  jd_soak_window_t club; /* Requests of the tenant with a rate that ran. */
  int64_t store_until_us;
  int64_t store_disturbed_us;
  int64_t targets_until_us;
  int64_t links_disturbed_us; /* Last harm to links to targets. */
  int64_t leaves_until_us;
  uint32_t leaving;
  uint32_t open;
  uint32_t served;
  uint32_t violations;
  bool quiet;          /* No more faults. */
  const char *planted; /* Rule whose violation is planted; "" for none. */
};

bool jd_soak_plants (const jd_soak_t *soak, const char *rule);
bool jd_soak_in_touch (const jd_soak_t *soak, uint32_t host, int64_t at_us);
void jd_soak_violate (jd_soak_t *soak, const char *rule, const char *id,
                      const char *detail);
void jd_soak_on_arrival (void *context, jd_shard_target_t *target,
                         const jd_shard_arrival_t *arrival);
void jd_soak_on_reply (void *context, const jd_lab_reply_t *reply);

void jd_soak_send (jd_soak_t *soak);
void jd_soak_probe (jd_soak_t *soak);

void jd_soak_choose_kinds (jd_soak_t *soak);
void jd_soak_publish (jd_soak_t *soak, bool has_guest_key);
void jd_soak_take_away (jd_soak_t *soak, uint32_t target);
void jd_soak_start_fault (jd_soak_t *soak);
void jd_soak_end_faults (jd_soak_t *soak);
