#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "membership/peer_table.h"

/* The time that a host has to learn of a change, and how it is divided. The age of the
 * records is the only clock of all waits: for messages of other hosts, for copies, for
 * reads of the store and between them. */
typedef struct jd_record_budget
{
  int64_t limit_us;         /* At this age records may lack a change that has to apply. */
  int64_t read_interval_us; /* Between two reads of the host that reads for its zone. */
  int64_t own_read_min_us;  /* From this age on a host reads the store itself, whatever */
  int64_t own_read_max_us;  /* other hosts offer; at the latest at the second one. */
} jd_record_budget_t;

/* The state of a host's published records. */
typedef struct jd_record_view
{
  int64_t revision;   /* Revision up to which they are complete. */
  int64_t as_of_us;   /* Time at which they were current; 0: there are none. */
  int64_t started_us; /* Start of this host. Without records their age counts from it. */
  int64_t read_again_us; /* Earliest time of the next read of the store; 0: now. */
  bool reads_store;      /* The host read the store itself, successfully and recently. */
  bool store_failed;     /* Its last read of the store failed. */
  bool is_reading;       /* A read of the store is running. */
  bool is_copying;       /* A copy from another host is running. */
  bool needs_full_copy;  /* It copies all records once, although it reads the store. */
  int64_t held_until_us; /* Removals are held until this time; 0: none are. */
} jd_record_view_t;

/* What a host does now to keep its records current. */
typedef struct jd_record_plan
{
  bool is_reader;          /* It reads the store regularly, for its zone. */
  bool is_own_read_due;    /* It reads the store because its records are too old. */
  bool starts_read;        /* A read of the store starts now, */
  int64_t read_limit_us;   /* each call of which may take this long. */
  const jd_peer_t *source; /* Host to copy from now, valid until the table changes; NULL:
                              none. */
  int64_t next_step_in_us; /* Time until the next plan is due at the latest. */
} jd_record_plan_t;

jd_record_budget_t jd_record_budget_new (int64_t limit_us);
jd_record_plan_t jd_record_plan_choose (const jd_record_budget_t *budget,
                                        const jd_peer_table_t *peers,
                                        const jd_record_view_t *view, int64_t now_us);
const jd_peer_t *jd_record_plan_offer (const jd_record_budget_t *budget,
                                       const jd_peer_table_t *peers,
                                       const jd_record_view_t *view, int64_t now_us);
int64_t jd_record_plan_copy_limit_us (const jd_record_budget_t *budget,
                                      const jd_record_view_t *view, int64_t now_us);
int64_t jd_record_plan_read_again_us (const jd_record_budget_t *budget,
                                      const jd_record_view_t *view,
                                      int64_t read_started_us, int64_t now_us);
