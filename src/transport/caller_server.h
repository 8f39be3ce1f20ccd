#pragma once

#include <ev.h>

#include "limits/byte_budget.h"
#include "routing/answer_margin.h"
#include "transport/http_reader.h"

/* The connection of a caller. It carries one request at a time. */
typedef struct jd_caller jd_caller_t;
typedef struct jd_caller_server jd_caller_server_t;

typedef struct jd_caller_handler
{
  /* A request was read to its end. The reader holds it until the request is answered. */
  void (*on_request) (void *context, jd_caller_t *caller, const jd_http_reader_t *reader);
  /* The connection closed before its request was answered. The pointer is invalid after
   * this call. */
  void (*on_disconnect) (void *context, jd_caller_t *caller);
  void *context;
} jd_caller_handler_t;

/* Limits on the size of a request in bytes and on the time to receive it. The head must
 * be received within head_timeout_us, the whole request within the sum of both timeouts.
 * A connection without a request is closed after idle_timeout_us. */
typedef struct jd_caller_limits
{
  uint32_t head_bytes;
  uint32_t body_bytes;
  int64_t head_timeout_us;
  int64_t idle_timeout_us;
} jd_caller_limits_t;

jd_caller_server_t *jd_caller_server_new (struct ev_loop *loop,
                                          const jd_caller_handler_t *handler);
void jd_caller_server_free (jd_caller_server_t *server);
bool jd_caller_server_listen (jd_caller_server_t *server, const char *address,
                              GError **error);
void jd_caller_server_set_limits (jd_caller_server_t *server,
                                  const jd_caller_limits_t *limits);
void jd_caller_server_set_budget (jd_caller_server_t *server, jd_byte_budget_t *budget);
void jd_caller_server_set_close_after_answer (jd_caller_server_t *server, bool closes);
void jd_caller_server_close_listener (jd_caller_server_t *server);
void jd_caller_server_close_idle (jd_caller_server_t *server);
uint32_t jd_caller_server_connection_count (const jd_caller_server_t *server);

uint64_t jd_caller_held_bytes (const jd_caller_t *caller);
jd_caller_path_t jd_caller_path (const jd_caller_t *caller);
void jd_caller_set_data (jd_caller_t *caller, void *data);
void *jd_caller_data (const jd_caller_t *caller);
void jd_caller_answer (jd_caller_t *caller, uint32_t status, const GString *fields,
                       const char *body, size_t body_bytes);
void jd_caller_answer_status (jd_caller_t *caller, uint32_t status,
                              int64_t retry_after_us);
void jd_caller_send_raw (jd_caller_t *caller, const char *data, size_t size);
void jd_caller_abort (jd_caller_t *caller);
const char *jd_http_reason (uint32_t status);
