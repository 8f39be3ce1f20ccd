#pragma once

#include "base/rng.h"
#include "routing/broker_defs.h"
#include "model/sim.h"

#define JD_MODEL_SNAPSHOTS 2

typedef struct jd_model_target jd_model_target_t;

/* One request at a model target. The broker finds its reply by the handle. */
typedef struct jd_model_request
{
  jd_model_target_t *target;
  uint64_t handle;
  uint32_t broker; /* Index of the broker that sent the request. */
  jd_work_kind_t kind;
  char *text;
  jd_name_t shard;
  uint64_t snapshot;
  uint32_t limit;
  int64_t deadline_us; /* Simulation time. */
  gboolean ended;      /* Cancelled, or broken because the target went down. */
} jd_model_request_t;

/* Callbacks of a model target. */
typedef struct jd_model_hooks
{
  /* Returns the service time of a request at a warm target. */
  int64_t (*service_time_us) (void *context, const jd_model_request_t *request);
  /* Called when a request starts to run; load is the number of running requests and
   * includes it. */
  void (*on_execute) (void *context, const jd_model_request_t *request, uint32_t load,
                      uint32_t capacity);
  /* Called with the reply to a request; the callback takes over the hits of the reply. */
  void (*on_reply) (void *context, const jd_model_request_t *request,
                    jd_target_reply_t *reply);
  void *context;
} jd_model_hooks_t;

/* A back end with slots and cold starts. A cold target is slower and can run fewer
 * requests at a time; both approach their warm values with each reply. A request ends at
 * its deadline without a reply. */
struct jd_model_target
{
  jd_sim_t *sim;
  jd_model_hooks_t hooks;
  jd_name_t name;
  uint32_t shard;
  uint32_t zone;
  uint32_t owner; /* Index of the broker that owns it. */
  uint32_t slots;
  uint32_t cold_replies; /* Replies after a start until it is warm; 0: never cold. */
  uint32_t replies_since_start; /* Since its last start. */
  uint32_t generation;          /* Number of starts, reported as the boot id. */
  gboolean down;
  gboolean silent;                /* Accepts requests and never replies. */
  gboolean ignores_snapshot;      /* Answers each search from its newest snapshot. */
  gboolean hides_boot_and_uptime; /* Reports neither boot id nor uptime. */
  int64_t started_us;
  uint64_t snapshots[JD_MODEL_SNAPSHOTS]; /* Newest first. */
  GPtrArray *running;                     /* jd_model_request_t */
};

void jd_model_target_init (jd_model_target_t *target, jd_sim_t *sim,
                           const jd_model_hooks_t *hooks);
void jd_model_target_clear (jd_model_target_t *target);
uint32_t jd_model_target_capacity (const jd_model_target_t *target);
/* Returns the factor on the service time in the current state; 1 when warm. */
double jd_model_target_slowdown (const jd_model_target_t *target);
/* Starts or refuses a request; the target takes ownership of it. */
void jd_model_target_receive (jd_model_target_t *target, jd_model_request_t *request);
/* Stops a request without a reply. Returns TRUE if it was running. */
gboolean jd_model_target_cancel (jd_model_target_t *target, uint32_t broker,
                                 uint64_t handle);
/* Stops the target, which breaks its running requests, or starts it cold. */
void jd_model_target_set_down (jd_model_target_t *target, gboolean down);
void jd_model_request_free (void *request);
/* Returns the score of the best hit of a shard for a text; each following hit scores 1
 * less. */
double jd_model_hit_score (const char *text, const char *shard);
