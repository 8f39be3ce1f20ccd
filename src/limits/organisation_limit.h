#pragma once

#include "base/result_code.h"
#include "limits/admission.h"
#include "limits/demand_estimate.h"
#include "limits/rate_share.h"
#include "limits/token_exchange.h"

/* What operators see of one organisation in one process. Amounts are microtokens. */
typedef struct jd_rate_status
{
  jd_name_t organisation;
  int64_t held;      /* Own tokens. */
  int64_t received;  /* Received from peers, not yet expired. */
  int64_t in_flight; /* Granted to peers, counted until they expire. */
  int64_t capacity;
  int64_t generation_per_s;
  int64_t demand_per_s;
  uint32_t waiting;
  uint64_t admitted;
  uint64_t refused;
  uint64_t waited; /* Admitted or refused after a wait. */
  uint64_t asks_sent;
  uint64_t grants_sent;
  uint64_t grants_dropped;
  jd_token_totals_t totals;
} jd_rate_status_t;

/* All state of one organisation in one process. */
typedef struct jd_organisation_limit
{
  jd_name_t name;
  const jd_rate_settings_t *settings;
  jd_rate_share_t share;
  jd_token_exchange_t exchange;
  jd_admission_queue_t queue;
  jd_demand_estimate_t demand;
  int64_t prefetched_at_us;
  uint64_t admitted;
  uint64_t refused;
  uint64_t waited;
  uint64_t grants_sent;
  bool published; /* Used while a new record is applied. */
} jd_organisation_limit_t;

typedef enum jd_admission
{
  JD_ADMISSION_REFUSED = 0,
  JD_ADMISSION_ADMITTED = 1,
  JD_ADMISSION_WAITING = 2,
} jd_admission_t;

jd_organisation_limit_t *jd_organisation_limit_new (const char *name,
                                                    const jd_rate_settings_t *settings,
                                                    jd_share_rate_t rate, int64_t now_us);
void jd_organisation_limit_free (void *organisation);
jd_admission_t jd_organisation_limit_request (jd_organisation_limit_t *organisation,
                                              int64_t now_us, uint64_t request_id,
                                              int64_t deadline_us);
bool jd_organisation_limit_serve (jd_organisation_limit_t *organisation, int64_t now_us,
                                  jd_waiting_request_t *request, jd_admission_t *result);
int64_t jd_organisation_limit_wanted (jd_organisation_limit_t *organisation,
                                      int64_t now_us);
int64_t jd_organisation_limit_grant (jd_organisation_limit_t *organisation,
                                     int64_t now_us, int64_t asked);
int64_t jd_organisation_limit_next_wakeup_us (const jd_organisation_limit_t *organisation,
                                              int64_t now_us);
void jd_organisation_limit_status (const jd_organisation_limit_t *organisation,
                                   int64_t now_us, jd_rate_status_t *status);
