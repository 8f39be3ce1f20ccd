#pragma once

#include <glib.h>
#include <stdint.h>

/* A discrete-event simulation: runs callbacks in the order of their times, and callbacks
 * of the same time in the order in which they were scheduled. */
typedef struct jd_sim jd_sim_t;

typedef void (*jd_sim_callback_t) (void *context, void *data);

jd_sim_t *jd_sim_new (void);
void jd_sim_free (jd_sim_t *sim);
int64_t jd_sim_now_us (const jd_sim_t *sim);
/* The callback receives data, and owns it if free_data is set. Free_data frees data if
 * the simulation is freed before the callback runs; NULL: nothing to free. */
void jd_sim_schedule (jd_sim_t *sim, int64_t time_us, jd_sim_callback_t callback,
                      void *context, void *data, GDestroyNotify free_data);
/* Runs all events up to and including until_us. */
void jd_sim_run (jd_sim_t *sim, int64_t until_us);
