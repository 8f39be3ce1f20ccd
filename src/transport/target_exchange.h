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

/* Called right before the first byte of work is written; FALSE stops it. */
typedef gboolean (*jd_exchange_may_write_t) (void *context, uint64_t handle);

/* One HTTP request to a target and what has been read of its reply. */
struct jd_target_exchange
{
  jd_exchange_kind_t kind;
  jd_work_kind_t work_kind;
  uint64_t handle; /* Of the attempt; 0 for a health probe. */
  jd_name_t target;
  char *request_id; /* Must be echoed by the reply to work. */
  int64_t deadline_us;
  jd_clock_t clock;
  jd_exchange_may_write_t may_write;
  void *context;
  void *owner; /* Free for the user of the exchange. */

  CURL *easy;
  struct curl_slist *headers;
  char *deadline_header; /* In headers; rewritten right before the write. */
  gboolean was_written;  /* Bytes of the request may have been written. */
  gboolean is_over;      /* Its end is not reported (any more). */
  gboolean is_cancelled; /* Nobody waits for the reply, only for its end. */
  gboolean has_ended;    /* The transfer is over. */

  gboolean has_echo;
  gboolean is_crossed;
  gboolean is_shed;
  jd_target_reply_t reply; /* Headers of the reply. */
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

/* Prepare exchanges; the caller adds exchange->easy to a multi handle. NULL when the
 * content cannot be sent as HTTP. */
jd_target_exchange_t *jd_target_exchange_work (const jd_exchange_options_t *options,
                                               const jd_broker_start_t *start);
jd_target_exchange_t *jd_target_exchange_cancel (const jd_exchange_options_t *options,
                                                 uint64_t handle);
jd_target_exchange_t *jd_target_exchange_health (const jd_exchange_options_t *options);
void jd_target_exchange_free (jd_target_exchange_t *exchange);

/* Completes exchange->reply of work after the transfer has ended with a result. */
void jd_target_exchange_finish (jd_target_exchange_t *exchange, CURLcode result);
/* HTTP status of the reply, 0 when there is none. */
long jd_target_exchange_status (const jd_target_exchange_t *exchange);
