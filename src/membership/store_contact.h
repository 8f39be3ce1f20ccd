#pragma once

#include <stdint.h>

#include "membership/peer_table.h"

/* Decides whether the store was away for so long that records of live targets expired. A
 * host judges this from all hosts that it knows: its own records also get old when the
 * hosts from which it copies are lost, and its own reads also fail when only this host is
 * cut off. */
typedef struct jd_store_contact
{
  int64_t max_gap_us;   /* Records may have expired in a longer outage. */
  int64_t stable_us;    /* Time after an outage until the store is trusted again. */
  int64_t hold_us;      /* Time from the first read after it for which removals are held,
                           unless the store is trusted before. */
  int64_t readable_us;  /* Latest time at which a known host read the store; 0: none. */
  int64_t gap_began_us; /* The last two such times that were more than max_gap_us */
  int64_t gap_ended_us; /* apart; the second one is 0 while the gap goes on. */
  int64_t
      outage_began_us; /* Start of the last gap in which reads have failed; 0: none. */
} jd_store_contact_t;

/* What this host has seen of the store itself. */
typedef struct jd_own_contact
{
  int64_t as_of_us;  /* Time at which its records were current; 0: there are none. */
  int64_t failed_us; /* Time at which its last failed read ended; 0: none has failed. */
  int64_t failed_start_us; /* Time at which that read started. */
} jd_own_contact_t;

void jd_store_contact_note (jd_store_contact_t *contact, const jd_peer_table_t *peers,
                            const jd_own_contact_t *own, int64_t now_us);
int64_t jd_store_contact_hold_until_us (const jd_store_contact_t *contact,
                                        const jd_own_contact_t *own, int64_t now_us);
