#pragma once

#include "support/fleet.h"

#define JD_LOAD_MAX_RECORDS 20000

/* One request of the load and its answer; sent_us is 0 if no request was sent. */
typedef struct jd_load_record
{
  int64_t sent_us;
  int64_t answered_us;
  gboolean is_edit;
  gboolean is_incomplete; /* No complete answer arrived. */
  int code;
  char ran[8];
  double coverage;
  char text[24]; /* Text of an edit; unique. */
} jd_load_record_t;

/* Threads that send requests until they are stopped. Like the platform's load balancer,
 * they send only to entries whose health check passed within the last 200 ms. */
typedef struct jd_load jd_load_t;

/* Starts threads that send one edit in edit_every requests (0: no edits). Each thread
 * waits for pause_us after a request. */
jd_load_t *jd_load_start (jd_fleet_t *fleet, uint32_t threads, uint32_t edit_every,
                          int64_t pause_us);
/* Stops the threads and returns the number of records, which stay valid until
 * jd_load_free (). A record whose sent_us is 0 stands for no request. */
uint32_t jd_load_stop (jd_load_t *load, const jd_load_record_t **records);
void jd_load_free (jd_load_t *load);
int64_t jd_load_now_us (void);
