#include "membership/record_plan.h"

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"

/* Reads of the records within the limit. */
#define READS_PER_LIMIT 3
/* Also the shortest time between two reads of one host, whatever its steps are due to. */
#define READ_INTERVAL_MIN_US (300 * JD_US_PER_MS)
#define READ_INTERVAL_MAX_US (2 * JD_US_PER_S)
/* Shares of the limit, in percent, between which hosts read the store themselves. Above
 * two thirds, one lost message of the host that reads for the zone causes no read. The
 * rest of the limit is for a read that hangs on a lost connection, and a second one. */
#define OWN_READ_MIN_PERCENT 68
#define OWN_READ_MAX_PERCENT 75
/* Hosts of a zone over which their own reads are spread at least, so that the first ones
 * of a small zone read close together. */
#define SPREAD_HOSTS_MIN 8U
/* Longest time of a call of the store. It typically responds within 4 ms; if it is slow,
 * it takes up to 100 times as long. */
#define READ_TIMEOUT_MAX_US (1200 * JD_US_PER_MS)
#define READ_TIMEOUT_MIN_US (200 * JD_US_PER_MS)
/* Shortest time from the start of a read that was refused to the next one; the longest
 * one, also while the limit cannot be met. */
#define READ_RETRY_MIN_US (200 * JD_US_PER_MS)
#define READ_RETRY_MAX_US (700 * JD_US_PER_MS)
/* A full copy is about 20 kB compressed. Many hosts may request one at the same time over
 * a link of 20 Mbit/s. */
#define COPY_TIMEOUT_MAX_US (1500 * JD_US_PER_MS)
#define COPY_TIMEOUT_MIN_US (200 * JD_US_PER_MS)
/* Longest time between steps while the store cannot be read, and while removals are held
 * after that. */
#define RECOVERY_INTERVAL_US (500 * JD_US_PER_MS)
/* Shortest time between two steps. */
#define STEP_MIN_US (5 * JD_US_PER_MS)

/* Divides the time within which a change has to be in force on each host. */
jd_record_budget_t
jd_record_budget_new (int64_t limit_us)
{
  return (jd_record_budget_t){
    .limit_us = limit_us,
    .read_interval_us =
        CLAMP (limit_us / READS_PER_LIMIT, READ_INTERVAL_MIN_US, READ_INTERVAL_MAX_US),
    .own_read_min_us = limit_us / 100 * OWN_READ_MIN_PERCENT,
    .own_read_max_us = limit_us / 100 * OWN_READ_MAX_PERCENT,
  };
}

/* Returns the time from which the age of a host's records counts. */
static int64_t
age_start_us (const jd_record_view_t *view)
{
  return MAX (view->as_of_us, view->started_us);
}

/* Returns the age of the records at which this host reads the store itself. The hosts of
 * a zone have lost the same source at the same time; they read one after the other, so
 * that most of them can copy what the first ones have read. */
static int64_t
own_read_age_us (const jd_record_budget_t *budget, const jd_peer_table_t *peers,
                 int64_t now_us)
{
  uint32_t hosts = 1;
  uint32_t rank = jd_peer_table_zone_rank (peers, &hosts, now_us);
  int64_t spread_us = budget->own_read_max_us - budget->own_read_min_us;
  return budget->own_read_min_us + spread_us * rank / MAX (hosts, SPREAD_HOSTS_MIN);
}

/* Returns the longest time of a call of the store: half of what is left, so that a second
 * read can follow within the limit. */
static int64_t
read_timeout_us (const jd_record_budget_t *budget, const jd_record_view_t *view,
                 int64_t now_us)
{
  int64_t left_us = age_start_us (view) + budget->limit_us - now_us;
  return left_us > 0 ? CLAMP (left_us / 2, READ_TIMEOUT_MIN_US, READ_TIMEOUT_MAX_US)
                     : READ_TIMEOUT_MAX_US;
}

/* Returns the earliest time of the next read after one that has failed. While the limit
 * can be met, a read that has hung is repeated at once and one that was refused after
 * half of the time that was left. */
int64_t
jd_record_plan_read_again_us (const jd_record_budget_t *budget,
                              const jd_record_view_t *view, int64_t read_started_us,
                              int64_t now_us)
{
  int64_t left_us = age_start_us (view) + budget->limit_us - now_us;
  if (left_us <= 0)
    return now_us + READ_RETRY_MAX_US;
  int64_t wait_us = CLAMP ((left_us + now_us - read_started_us) / 2, READ_RETRY_MIN_US,
                           READ_RETRY_MAX_US);
  return MAX (read_started_us + wait_us, now_us);
}

/* Returns the time limit of a copy: until this host reads the store itself at the
 * latest. */
int64_t
jd_record_plan_copy_limit_us (const jd_record_budget_t *budget,
                              const jd_record_view_t *view, int64_t now_us)
{
  int64_t left_us = age_start_us (view) + budget->own_read_max_us - now_us;
  return CLAMP (left_us, COPY_TIMEOUT_MIN_US, COPY_TIMEOUT_MAX_US);
}

/* Returns the host from which records can be copied now, or NULL: none, or a copy is
 * running. A host that needs all records copies them first. */
static const jd_peer_t *
find_source (const jd_record_budget_t *budget, const jd_peer_table_t *peers,
             const jd_record_view_t *view, jd_source_need_t need, int64_t now_us)
{
  if (view->is_copying)
    return NULL;
  return jd_peer_table_best_source (peers, need, view->revision, budget->own_read_max_us,
                                    now_us);
}

/* Returns the host from which this host copies all records after its start, or NULL: none
 * or not needed. It does so also while it reads the store. */
static const jd_peer_t *
find_full_source (const jd_record_budget_t *budget, const jd_peer_table_t *peers,
                  const jd_record_view_t *view, int64_t now_us)
{
  return view->needs_full_copy
             ? find_source (budget, peers, view, JD_SOURCE_FOR_ALL_RECORDS, now_us)
             : NULL;
}

/* Returns the host to copy from after a message of another host, or NULL. A host that
 * reads the store needs no changes while its reads keep its records current. */
const jd_peer_t *
jd_record_plan_offer (const jd_record_budget_t *budget, const jd_peer_table_t *peers,
                      const jd_record_view_t *view, int64_t now_us)
{
  const jd_peer_t *full_source = find_full_source (budget, peers, view, now_us);
  bool is_current =
      view->reads_store && now_us - age_start_us (view) < budget->own_read_min_us;
  if (full_source || is_current)
    return full_source;
  return find_source (budget, peers, view, JD_SOURCE_FOR_CHANGES, now_us);
}

/* Returns the time until the next plan is due. */
static int64_t
next_step_in_us (const jd_record_budget_t *budget, const jd_record_view_t *view,
                 const jd_record_plan_t *plan, int64_t own_read_us, int64_t now_us)
{
  int64_t next_us = now_us + budget->read_interval_us;
  bool holds_removals = view->held_until_us > now_us;
  if (view->store_failed || holds_removals)
    next_us = MIN (next_us, now_us + RECOVERY_INTERVAL_US);
  if (holds_removals)
    next_us = MIN (next_us, view->held_until_us);
  if (!plan->is_own_read_due)
    next_us = MIN (next_us, own_read_us);
  bool waits_for_read = plan->is_reader || plan->is_own_read_due;
  if (waits_for_read && view->read_again_us > now_us)
    next_us = MIN (next_us, view->read_again_us);
  return MAX (next_us - now_us, STEP_MIN_US);
}

/* Chooses how a host gets current records. A host copies while it can, but its sources
 * may be lost one after the other, and each loss is noticed only after a wait. The waits
 * therefore do not add up: at an age of the records that leaves time for it, the host
 * reads the store, which depends on no other host. */
jd_record_plan_t
jd_record_plan_choose (const jd_record_budget_t *budget, const jd_peer_table_t *peers,
                       const jd_record_view_t *view, int64_t now_us)
{
  jd_record_plan_t plan = { .read_limit_us = read_timeout_us (budget, view, now_us) };
  int64_t own_read_us = age_start_us (view) + own_read_age_us (budget, peers, now_us);
  plan.is_own_read_due = now_us >= own_read_us;
  const jd_peer_t *full_source = find_full_source (budget, peers, view, now_us);
  const jd_peer_t *source =
      find_source (budget, peers, view, JD_SOURCE_FOR_CHANGES, now_us);
  bool has_nothing = view->as_of_us == 0 && !view->is_copying && !source;
  plan.is_reader =
      has_nothing || jd_peer_table_should_read (peers, view->reads_store,
                                                budget->own_read_min_us, now_us);
  bool is_read_useful = view->as_of_us == 0 || plan.is_own_read_due ||
                        now_us - view->as_of_us >= READ_INTERVAL_MIN_US;
  plan.starts_read = (plan.is_reader || plan.is_own_read_due) && is_read_useful &&
                     !view->is_reading && now_us >= view->read_again_us;
  if (full_source)
    plan.source = full_source;
  else if (!plan.is_reader || plan.is_own_read_due || view->store_failed)
    plan.source = source;
  plan.next_step_in_us = next_step_in_us (budget, view, &plan, own_read_us, now_us);
  JD_INVARIANT (records_in_time, now_us < age_start_us (view) + budget->own_read_max_us ||
                                     view->is_reading || plan.starts_read ||
                                     now_us < view->read_again_us);
  JD_INVARIANT (records_in_time,
                plan.is_own_read_due ||
                    now_us + plan.next_step_in_us <=
                        age_start_us (view) + budget->own_read_max_us + STEP_MIN_US);
  return plan;
}
