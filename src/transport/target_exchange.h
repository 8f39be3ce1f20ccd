#pragma once

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "routing/broker_defs.h"

typedef enum jd_exchange_kind
{
  JD_EXCHANGE_WORK,
  JD_EXCHANGE_CANCEL,
  JD_EXCHANGE_HEALTH,
} jd_exchange_kind_t;

typedef struct jd_target_exchange jd_target_exchange_t;

/* Called right before the first byte of work is written; FALSE prevents the write. */
typedef gboolean (*jd_exchange_may_write_t) (void *context, uint64_t handle);

/* One HTTP request to a target and the part of its reply that has been read. */
struct jd_target_exchange
{
  jd_exchange_kind_t kind;
  jd_work_kind_t work_kind;
  uint64_t handle; /* Attempt handle; 0 for a health probe. */
  jd_name_t target;
  char *request_id; /* The reply to work must contain the same id. */
  int64_t deadline_us;
  jd_clock_t clock;
  jd_exchange_may_write_t may_write;
  void *context;
  void *user_data; /* Set by the user of the exchange. */

  CURL *easy;
  struct curl_slist *headers;
  char *deadline_header;         /* Points into headers; set right before the write. */
  gboolean was_written;          /* Bytes of the request may have been sent. */
  gboolean is_report_suppressed; /* The end must not be reported (again). */
  gboolean is_cancelled;         /* The result is no longer needed, only the end. */
  gboolean transfer_ended;       /* curl has finished or aborted the transfer. */

  gboolean has_request_id;       /* The reply has an X-Request-Id header. */
  gboolean has_wrong_request_id; /* Its X-Request-Id is missing or of another request. */
  gboolean is_shed;              /* The reply has X-Shed: 1. */
  jd_target_reply_t reply;       /* Contents of the headers, later of the body. */
  GString *body;
};

typedef struct jd_exchange_options
{
  const char *target;
  const char *address;
  const char *request_id;
  jd_clock_t clock;
  int64_t timeout_us;
  jd_exchange_may_write_t may_write;
  void *context;
} jd_exchange_options_t;

/* These create exchanges; the caller adds exchange->easy to a multi handle and frees the
 * exchange. Return NULL if the content cannot be sent as HTTP. */
jd_target_exchange_t *jd_target_exchange_work (const jd_exchange_options_t *options,
                                               const jd_broker_start_t *start);
jd_target_exchange_t *jd_target_exchange_cancel (const jd_exchange_options_t *options,
                                                 uint64_t handle);
jd_target_exchange_t *jd_target_exchange_health (const jd_exchange_options_t *options);
void jd_target_exchange_free (jd_target_exchange_t *exchange);

/* Completes exchange->reply of work after the transfer has ended with the result. */
void jd_target_exchange_finish (jd_target_exchange_t *exchange, CURLcode result);
/* Returns the HTTP status of the reply, or 0 if there is none. */
long jd_target_exchange_status (const jd_target_exchange_t *exchange);
