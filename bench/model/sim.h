#pragma once

#include <glib.h>
#include <stdint.h>

/* A discrete-event clock: runs callbacks in the order of their time, first scheduled
 * first among equal times. */
typedef struct jd_sim jd_sim_t;

typedef void (*jd_sim_callback_t) (void *context, void *data);

jd_sim_t *jd_sim_new (void);
void jd_sim_free (jd_sim_t *sim);
int64_t jd_sim_now_us (const jd_sim_t *sim);
/* Data is passed to the callback, or to free_data when the run ends before. */
void jd_sim_at (jd_sim_t *sim, int64_t time_us, jd_sim_callback_t callback, void *context,
                void *data, GDestroyNotify free_data);
/* Runs all events up to and including a time. */
void jd_sim_run (jd_sim_t *sim, int64_t until_us);
