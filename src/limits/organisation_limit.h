#pragma once

#include "base/result_code.h"
#include "limits/admission.h"
#include "limits/demand_estimate.h"
#include "limits/rate_share.h"
#include "limits/rate_status.h"
#include "limits/token_exchange.h"

/* Rate limit state of one organisation in one process. */
typedef struct jd_organisation_limit
{
  jd_name_t name;
  const jd_rate_settings_t *settings;
  jd_rate_share_t share;
  jd_token_exchange_t exchange;
  jd_admission_queue_t queue;
  jd_demand_estimate_t demand;
  int64_t rebalanced_at_us;
  uint64_t admitted;
  uint64_t refused;
  uint64_t waited;
  uint64_t grants_sent;
  bool published; /* In the current record. */
  bool
      in_waiting_list; /* In the limiter's list of organisations with waiting requests. */
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
int64_t
jd_organisation_limit_tokens_to_request (const jd_organisation_limit_t *organisation,
                                         int64_t now_us);
bool jd_organisation_limit_should_rebalance (jd_organisation_limit_t *organisation,
                                             int64_t now_us, int64_t *held);
int64_t jd_organisation_limit_grant (jd_organisation_limit_t *organisation,
                                     int64_t now_us, int32_t peer,
                                     const jd_token_request_t *token_request);
int64_t jd_organisation_limit_next_wakeup_us (const jd_organisation_limit_t *organisation,
                                              int64_t now_us);
void jd_organisation_limit_status (const jd_organisation_limit_t *organisation,
                                   int64_t now_us, jd_rate_status_t *status);
