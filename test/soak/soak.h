#pragma once

#include "base/rng.h"
#include "support/host_lab.h"

/* Bounds that the platform specifies; see docs/design.md, 1.2. */
/* The other time bounds hold for a host after this long without a disturbance. */
#define JD_SOAK_UNDISTURBED_US (4 * JD_US_PER_S)
/* From the publication of a configuration until a host applies it. */
#define JD_SOAK_CONFIG_APPLY_LIMIT_US (3 * JD_US_PER_S)
/* From the withdrawal of a target until no request reaches it. */
#define JD_SOAK_DRAIN_LIMIT_US (3 * JD_US_PER_S)
/* A host may answer by an older configuration for this long after it has applied a newer
 * one. */
#define JD_SOAK_ROLLBACK_TOLERANCE_US (250 * JD_US_PER_MS)
/* From SIGTERM to the exit of a host process. */
#define JD_SOAK_STOP_LIMIT_US (6 * JD_US_PER_S)
#define JD_SOAK_COLD_START_MS 3000U
#define JD_SOAK_COLD_REQUESTS_PER_S 10.0
/* In one second: 1.5 times JD_SOAK_COLD_REQUESTS_PER_S, plus 5. */
#define JD_SOAK_COLD_MAX_ARRIVALS 20U
#define JD_SOAK_CLUB_REQUESTS_PER_S 8.0
/* In JD_SOAK_CLUB_WINDOW_US: 1.25 times (5 s of the rate, plus its burst), plus 20. */
#define JD_SOAK_CLUB_MAX_REQUESTS 80U
#define JD_SOAK_CLUB_WINDOW_US (5 * JD_US_PER_S)
#define JD_SOAK_MAX_ATTEMPTS 2U /* Per request and service. */
/* A target that asks for a pause gets at most this many requests from a host between
 * JD_SOAK_PAUSE_TOLERANCE_US after its answer and the end of the pause. */
#define JD_SOAK_PAUSE_MAX_REQUESTS 2U
#define JD_SOAK_PAUSE_TOLERANCE_US (JD_US_PER_S / 2)
#define JD_SOAK_PAUSE_S "1.5"
#define JD_SOAK_PAUSE_US (1500 * JD_US_PER_MS)

/* Extra arrivals at a service in JD_SOAK_EXTRA_WINDOW_US: this share of its requests,
 * plus the retry-slack of the settings. */
#define JD_SOAK_EXTRA_SHARE 0.2
#define JD_SOAK_EXTRA_SLACK 58.0
#define JD_SOAK_EXTRA_WINDOW_US (10 * JD_US_PER_S)

#define JD_SOAK_WINDOW_MAX_EVENTS 1024U

/* Times of the latest events, in a ring buffer. */
typedef struct jd_soak_window
{
  int64_t times_us[JD_SOAK_WINDOW_MAX_EVENTS];
  uint32_t count; /* Of all events so far. */
} jd_soak_window_t;

typedef enum jd_soak_key
{
  JD_SOAK_KEY_DEFAULT,
  JD_SOAK_KEY_GUEST, /* Added and removed by configuration changes. */
  JD_SOAK_KEY_CLUB,  /* Of the tenant that has a rate limit. */
} jd_soak_key_t;

typedef enum jd_soak_kind
{
  JD_SOAK_SEARCH,
  JD_SOAK_FETCH,
  JD_SOAK_EDIT,
  JD_SOAK_PROBE, /* On a route that only some configuration versions have. */
} jd_soak_kind_t;

typedef struct jd_soak jd_soak_t;

/* A request. It is kept until the end of the run, because it may reach targets late. */
typedef struct jd_soak_call
{
  jd_soak_t *soak;
  char id[24];
  uint32_t host;
  jd_soak_kind_t kind;
  jd_soak_key_t key;
  int64_t probed_version;
  uint32_t host_start_number; /* The host's start count when the request was sent. */
  uint64_t arrived_at;        /* Bit N: it arrived at service N. */
  bool counted_for_rate;      /* Against the rate limit of its tenant. */
  bool is_answered;           /* Or its connection has ended. */
  int64_t sent_us;
} jd_soak_call_t;

typedef struct jd_soak_host
{
  int64_t resume_us;  /* End of a pause; 0: the host is not paused. */
  int64_t restart_us; /* When an ended host process is started again. */
  bool stopping;
  uint32_t start_count;
  int64_t last_disturbed_us;     /* Last kill, stop, pause or start. */
  int64_t last_kill_or_pause_us; /* A pause counts until its end. */
  int64_t last_sigterm_us;
  int64_t config_version;    /* Newest one that an answer proved to be applied. */
  int64_t config_version_us; /* When that answer arrived. */
} jd_soak_host_t;

/* What a target has told one start of a host about itself. */
typedef struct jd_soak_told
{
  uint32_t host_start_number;
  int64_t leaving_us; /* First answer that said that it is leaving; 0: none. */
  int64_t pause_us;   /* Answer that asked for the present pause; 0: none. */
  uint32_t requests_in_pause;
} jd_soak_told_t;

typedef struct jd_soak_target
{
  bool says_leaving;
  bool is_paused;
  jd_soak_told_t *told; /* Of each host. */
  int64_t withdrawn_us; /* When it was withdrawn; 0: it is in use. */
  bool needs_restart;   /* It said that it is leaving, and is withdrawn. */
  int64_t cold_until_us;
  jd_soak_window_t cold_arrivals;
} jd_soak_target_t;

struct jd_soak
{
  jd_host_fixture_t fixture;
  jd_philox_t random;
  jd_rng_t rng;
  int64_t start_us;
  uint32_t fault_kinds; /* Bit N: the run injects faults of kind N. */
  jd_soak_host_t hosts[JD_HOST_FIXTURE_HOSTS_MAX];
  jd_soak_target_t targets[JD_HOST_FIXTURE_TARGETS_MAX];
  GPtrArray *calls;     /* jd_soak_call_t; the index is the number in the request id. */
  GArray *published_us; /* When each version of the configuration was published. */
  int64_t guest_key_changed_us;
  jd_soak_window_t club_runs; /* Requests that ran for the tenant with a rate limit. */
  jd_soak_window_t extra_arrivals[JD_HOST_FIXTURE_TARGETS_MAX / 2]; /* By service. */
  int64_t store_fault_end_us;
  int64_t store_return_us;  /* When the store returns from its older copy; 0: never. */
  int64_t writers_us;       /* When lost records are written again; 0: none are lost. */
  int64_t lapse_started_us; /* Last time at which all records of targets expired. */
  int64_t store_disturbed_us;
  int64_t targets_fault_end_us;
  int64_t targets_sound_us;   /* When targets last became sound or changed. */
  int64_t links_disturbed_us; /* Latest fault on a link to a target. */
  int64_t withdrawal_end_us;
  int64_t notice_end_us; /* End of what notice_target says about itself; 0: nothing. */
  uint32_t notice_target;
  uint32_t withdrawn_target;
  uint32_t open_calls;
  uint32_t served_calls;
  uint32_t violation_count;
  bool found_injected; /* A violation of the injected rule was found. */
  bool no_new_faults;
  bool
      has_cut_request; /* The stop for the injected violation of graceful_stop is done. */
  const char *injected_rule; /* Rule whose violation is injected; "" for none. */
};

bool jd_soak_injects (const jd_soak_t *soak, const char *rule);
bool jd_soak_has_running_call (const jd_soak_t *soak, uint32_t host, int64_t max_age_us);
bool jd_soak_is_undisturbed (const jd_soak_t *soak, uint32_t host, int64_t at_us);
void jd_soak_report_violation (jd_soak_t *soak, const char *rule, const char *id,
                               const char *detail);
void jd_soak_on_arrival (void *context, jd_shard_target_t *target,
                         const jd_shard_arrival_t *arrival);
void jd_soak_on_reply (void *context, const jd_host_fixture_reply_t *reply);

void jd_soak_send_call (jd_soak_t *soak);
void jd_soak_send_probe (jd_soak_t *soak);

void jd_soak_choose_fault_kinds (jd_soak_t *soak);
void jd_soak_publish_config (jd_soak_t *soak, bool has_guest_key);
void jd_soak_withdraw_target (jd_soak_t *soak, uint32_t target);
void jd_soak_end_withdrawal (jd_soak_t *soak);
void jd_soak_start_notice (jd_soak_t *soak, uint32_t target, bool is_leaving);
void jd_soak_end_notice (jd_soak_t *soak);
void jd_soak_set_target_faults (jd_soak_t *soak, double shed_share,
                                uint32_t shedding_percent);
void jd_soak_stop_host (jd_soak_t *soak, uint32_t index, int signal_number);
void jd_soak_start_fault (jd_soak_t *soak);
void jd_soak_end_faults (jd_soak_t *soak);
