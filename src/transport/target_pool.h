#pragma once

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "transport/event_poll.h"
#include "transport/target_exchange.h"

/* The connections to one target address. Each pool has its own curl multi handle, so that
 * keep-alive connections and their maximum number apply to this address only. */
typedef struct jd_target_pool jd_target_pool_t;

jd_target_pool_t *jd_target_pool_new (jd_event_poll_t *poll, jd_clock_t clock,
                                      const char *address, uint32_t max_connections);
void jd_target_pool_free (jd_target_pool_t *pool);
void jd_target_pool_set_connections (jd_target_pool_t *pool, uint32_t max_connections);
const char *jd_target_pool_address (const jd_target_pool_t *pool);

/* Adds an exchange. Returns FALSE if all connections are in use, because curl would queue
 * the exchange until one is free. */
gboolean jd_target_pool_add (jd_target_pool_t *pool, jd_target_exchange_t *exchange);
/* Removes an exchange; if it is unfinished, curl closes its connection. */
void jd_target_pool_remove (jd_target_pool_t *pool, jd_target_exchange_t *exchange);
/* Runs the timers of curl that are due. */
void jd_target_pool_run (jd_target_pool_t *pool);
/* Removes and returns the next finished exchange and its result, or returns NULL. */
jd_target_exchange_t *jd_target_pool_pop_finished (jd_target_pool_t *pool,
                                                   CURLcode *result);
/* Returns when jd_target_pool_run must be called; INT64_MAX if it need not. */
int64_t jd_target_pool_next_wake_us (const jd_target_pool_t *pool);
uint32_t jd_target_pool_active (const jd_target_pool_t *pool);
