#pragma once

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* A stand-in for the platform's key-value store in the event loop of a test, as the
 * platform's documentation describes it. Clients read the records in pages and the
 * changes after a revision. */
typedef struct jd_published_store jd_published_store_t;

/* How the store answers calls. */
typedef enum jd_store_mode
{
  JD_STORE_SERVES,
  JD_STORE_UNAVAILABLE, /* Every call gets 503. */
  JD_STORE_SILENT,      /* No call is answered. */
  JD_STORE_BUSY,        /* Every call gets 429. */
} jd_store_mode_t;

jd_published_store_t *jd_published_store_new (struct ev_loop *loop, const char *address);
void jd_published_store_free (jd_published_store_t *store);
void jd_published_store_put (jd_published_store_t *store, const char *key,
                             const char *value);
/* Adds an entry whose item in lists and changes is the JSON text as it is, valid or not.
 * The key sets its place in lists. */
void jd_published_store_put_item (jd_published_store_t *store, const char *key,
                                  const char *item_text);
void jd_published_store_remove (jd_published_store_t *store, const char *key);
void jd_published_store_remove_all (jd_published_store_t *store, const char *prefix);
void jd_published_store_keep_copy (jd_published_store_t *store);
void jd_published_store_restore_copy (jd_published_store_t *store);
void jd_published_store_discard_history (jd_published_store_t *store);
void jd_published_store_set_mode (jd_published_store_t *store, jd_store_mode_t mode);
uint32_t jd_published_store_call_count (const jd_published_store_t *store);
