#pragma once

#include "base/rng.h"
#include "routing/broker_defs.h"
#include "model/sim.h"

#define JD_MODEL_SNAPSHOTS 2

typedef struct jd_model_target jd_model_target_t;

/* One request at a model target. */
typedef struct jd_model_request
{
  jd_model_target_t *target;
  uint64_t handle;
  uint32_t broker; /* Index of the sender. */
  jd_work_kind_t kind;
  char *text;
  jd_name_t shard;
  uint64_t snapshot;
  uint32_t limit;
  int64_t deadline_us; /* Simulation time. */
  gboolean ended;
} jd_model_request_t;

/* What a model target asks its user. */
typedef struct jd_model_hooks
{
  /* Service time of a warm target. */
  int64_t (*service_us) (void *context, const jd_model_request_t *request);
  /* A request begins to run; load includes it. */
  void (*on_execute) (void *context, const jd_model_request_t *request, uint32_t load,
                      uint32_t capacity);
  /* The reply to a request that has ended. */
  void (*on_reply) (void *context, const jd_model_request_t *request,
                    jd_target_reply_t *reply);
  void *context;
} jd_model_hooks_t;

/* A back end with slots and cold starts. Cold, it is slower, and takes fewer requests at
 * a time: both become normal while it answers. It stops work at its deadline. */
struct jd_model_target
{
  jd_sim_t *sim;
  jd_model_hooks_t hooks;
  jd_name_t name;
  uint32_t shard;
  uint32_t zone;
  uint32_t owner; /* Index of the broker that owns it. */
  uint32_t slots;
  uint32_t cold_replies; /* Replies until it is warm; 0: never cold. */
  uint32_t replies;      /* Since its start. */
  uint32_t generation;   /* Number of starts. */
  gboolean down;
  gboolean silent;           /* Accepts requests and never replies. */
  gboolean ignores_snapshot; /* Answers from its newest snapshot, whatever is asked. */
  gboolean hides_boot;       /* Reports neither boot id nor uptime. */
  int64_t started_us;
  uint64_t snapshots[JD_MODEL_SNAPSHOTS]; /* Newest first. */
  GPtrArray *running;                     /* jd_model_request_t */
};

void jd_model_target_init (jd_model_target_t *target, jd_sim_t *sim,
                           const jd_model_hooks_t *hooks);
void jd_model_target_clear (jd_model_target_t *target);
uint32_t jd_model_target_capacity (const jd_model_target_t *target);
/* Factor by which a cold target is slower now; 1 when warm. */
double jd_model_target_slowdown (const jd_model_target_t *target);
/* Takes a request; the target owns it afterwards. */
void jd_model_target_receive (jd_model_target_t *target, jd_model_request_t *request);
/* Stops a request. Returns whether it was running. */
gboolean jd_model_target_cancel (jd_model_target_t *target, uint32_t broker,
                                 uint64_t handle);
/* Takes the target down, which breaks its running requests, or starts it cold. */
void jd_model_target_set_down (jd_model_target_t *target, gboolean down);
void jd_model_request_free (void *request);
/* Score of the best hit of a shard for a text; the next ones are 1 lower each. */
double jd_model_score (const char *text, const char *shard);
