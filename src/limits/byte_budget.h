#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A limit on the bytes that all connections of a process hold together: requests, answers
 * that are not complete yet, and answers that their callers have not read yet. */
typedef struct jd_byte_budget
{
  uint64_t limit_bytes;
  uint64_t held_bytes;
  uint64_t protected_bytes; /* Of them, those of protected holders. */
  GQueue holders;           /* jd_byte_holder_t with bytes. */
} jd_byte_budget_t;

/* A connection that holds bytes; part of its owner. */
typedef struct jd_byte_holder
{
  GList node; /* In budget->holders while bytes is above 0. */
  uint64_t bytes;
  bool is_protected; /* Cut only if no other holder is left. */
  /* Frees most of the bytes, or ends the connection, which frees all. A second call
   * always ends it. */
  void (*cut) (void *context);
  void *context;
} jd_byte_holder_t;

void jd_byte_budget_init (jd_byte_budget_t *budget, uint64_t limit_bytes);
void jd_byte_budget_set (jd_byte_budget_t *budget, jd_byte_holder_t *holder,
                         uint64_t bytes);
void jd_byte_budget_protect (jd_byte_budget_t *budget, jd_byte_holder_t *holder,
                             bool is_protected);
jd_byte_holder_t *jd_byte_budget_excess (const jd_byte_budget_t *budget);
bool jd_byte_budget_reads_behind (const jd_byte_budget_t *budget, uint64_t bytes);
bool jd_byte_budget_admits (const jd_byte_budget_t *budget, uint64_t bytes,
                            uint32_t max_requests);
