#pragma once

#include <glib.h>

#include "base/rng.h"

/* An in-memory network of processes that repeats a run from the same seed. Messages may
 * be delayed, lost, reordered, duplicated or blocked by a partition in one direction;
 * processes may pause, and their clocks run at different rates. */
typedef struct sim_network sim_network_t;

typedef struct sim_faults
{
  int64_t max_delay_us;      /* Maximum delay; delays are uniform from half of it up. */
  double loss_fraction;      /* Lost share of all messages, 0 to 1. */
  double duplicate_fraction; /* Duplicated share of all messages, 0 to 1. */
  double late_fraction; /* Share delayed by up to max_late_us more, which also reorders
                           messages. */
  int64_t max_late_us;
} sim_faults_t;

typedef struct sim_handlers
{
  void (*deliver) (void *context, uint32_t process, uint32_t from, GBytes *message);
  void (*wake) (void *context, uint32_t process);
  void *context;
} sim_handlers_t;

sim_network_t *sim_network_new (uint32_t process_count, const jd_rng_t *rng,
                                const sim_handlers_t *handlers);
void sim_network_free (sim_network_t *network);
int64_t sim_network_now_us (const sim_network_t *network);
int64_t sim_network_local_us (const sim_network_t *network, uint32_t process);
void sim_network_set_clock (sim_network_t *network, uint32_t process, int64_t offset_us,
                            double rate_ppm);
void sim_network_set_faults (sim_network_t *network, const sim_faults_t *faults);
void sim_network_set_blocked (sim_network_t *network, uint32_t from, uint32_t to,
                              gboolean is_blocked);
void sim_network_unblock_all (sim_network_t *network);
void sim_network_pause (sim_network_t *network, uint32_t process, int64_t duration_us);
void sim_network_send (sim_network_t *network, uint32_t from, uint32_t to,
                       GBytes *message);
void sim_network_wake_in (sim_network_t *network, uint32_t process, int64_t delay_us);
void sim_network_run_until (sim_network_t *network, int64_t end_us);
uint64_t sim_network_sent_count (const sim_network_t *network);
