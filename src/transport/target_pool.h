#pragma once

#include <curl/curl.h>
#include <glib.h>
#include <stdint.h>

#include "base/clock.h"
#include "transport/event_poll.h"
#include "transport/target_exchange.h"

/* The connections to one target address: a curl multi handle of its own, so that kept
 * connections and their maximum count belong to this target alone. */
typedef struct jd_target_pool jd_target_pool_t;

jd_target_pool_t *jd_target_pool_new (jd_event_poll_t *poll, jd_clock_t clock,
                                      const char *address, uint32_t connections);
void jd_target_pool_free (jd_target_pool_t *pool);
void jd_target_pool_set_connections (jd_target_pool_t *pool, uint32_t connections);
const char *jd_target_pool_address (const jd_target_pool_t *pool);

/* Starts an exchange. Returns FALSE when all connections are in use; it would have to
 * wait for one otherwise. */
gboolean jd_target_pool_add (jd_target_pool_t *pool, jd_target_exchange_t *exchange);
/* Takes out an exchange; the connection of an unfinished one is closed. */
void jd_target_pool_remove (jd_target_pool_t *pool, jd_target_exchange_t *exchange);
/* Runs curl's timers that are due. */
void jd_target_pool_run (jd_target_pool_t *pool);
/* Takes out the next finished exchange, or returns NULL. */
jd_target_exchange_t *jd_target_pool_take_done (jd_target_pool_t *pool, CURLcode *result);
/* When jd_target_pool_run must be called, INT64_MAX for never. */
int64_t jd_target_pool_next_wake_us (const jd_target_pool_t *pool);
uint32_t jd_target_pool_active (const jd_target_pool_t *pool);
