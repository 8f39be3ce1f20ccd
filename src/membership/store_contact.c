#include "membership/store_contact.h"

#include <glib.h>

#include "base/clock.h"
#include "base/log_event.h"

/* Hosts whose reads must have failed in an outage. The reads of a single one also fail
 * when its link to the store is cut. In a single zone only one host reads regularly. */
#define FAILED_HOSTS_MIN 2U
/* Longest time of a call of the store. A read that fails within this time after the start
 * of a gap may have started before it, and one that started in the gap has failed within
 * this time after its end. */
#define FAILED_READ_MAX_US (1200 * JD_US_PER_MS)
/* Removals take effect this long before the store is trusted again. */
#define RELEASE_MARGIN_US (100 * JD_US_PER_MS)

/* Updates the last gap from the times at which known hosts read the store. */
static void
note_gap (jd_store_contact_t *contact, int64_t newest_us, int64_t now_us)
{
  bool is_known = contact->readable_us > 0;
  bool is_read_again = newest_us > contact->readable_us;
  int64_t end_us = is_read_again ? newest_us : now_us;
  if (is_known && end_us - contact->readable_us > contact->max_gap_us)
    {
      contact->gap_began_us = contact->readable_us;
      contact->gap_ended_us = is_read_again ? newest_us : 0;
    }
  contact->readable_us = MAX (contact->readable_us, newest_us);
}

/* Returns the number of hosts, this one included, whose reads have failed in the last
 * gap. */
static uint32_t
count_failed_hosts (const jd_store_contact_t *contact, const jd_peer_table_t *peers,
                    const jd_own_contact_t *own)
{
  int64_t since_us = contact->gap_began_us + FAILED_READ_MAX_US;
  return jd_peer_table_count_store_failures (peers, since_us) +
         (own->failed_us > since_us);
}

/* Updates what is known of the store. Call before records are applied, and after each
 * message of another host. A gap in which reads have failed is an outage; hosts may hear
 * of such reads shortly after its end. */
void
jd_store_contact_note (jd_store_contact_t *contact, const jd_peer_table_t *peers,
                       const jd_own_contact_t *own, int64_t now_us)
{
  note_gap (contact, MAX (own->as_of_us, jd_peer_table_newest_as_of_us (peers)), now_us);
  bool is_judged = contact->gap_began_us == contact->outage_began_us;
  bool is_too_late =
      contact->gap_ended_us > 0 && now_us > contact->gap_ended_us + FAILED_READ_MAX_US;
  if (is_judged || is_too_late)
    return;
  uint32_t failed_hosts = count_failed_hosts (contact, peers, own);
  uint32_t required = jd_peer_table_has_other_zone (peers, now_us) ? FAILED_HOSTS_MIN : 1;
  if (failed_hosts < required)
    return;
  contact->outage_began_us = contact->gap_began_us;
  jd_log_event (G_LOG_LEVEL_WARNING, "store_outage",
                "began_ms_ago=%" G_GINT64_FORMAT " failed_hosts=%u",
                (now_us - contact->outage_began_us) / JD_US_PER_MS, failed_hosts);
}

/* Returns the time until which removals are held because of the last outage, 0 if they
 * are not. No host has read the store in it, so that the records of this host are from
 * before it or after it. The outage may have ended when the last read that failed had
 * just started, and the store is trusted again some time after its end. */
int64_t
jd_store_contact_hold_until_us (const jd_store_contact_t *contact,
                                const jd_own_contact_t *own, int64_t now_us)
{
  if (contact->outage_began_us == 0 || own->as_of_us == 0)
    return 0;
  bool is_from_after =
      own->as_of_us >= contact->outage_began_us + contact->max_gap_us / 2;
  if (is_from_after && contact->gap_began_us != contact->outage_began_us)
    return 0; /* The outage was followed by another gap, which is none. */
  int64_t until_us = (is_from_after ? contact->gap_ended_us : now_us) + contact->hold_us;
  if (own->failed_us > contact->outage_began_us)
    until_us =
        MIN (until_us, own->failed_start_us + contact->stable_us - RELEASE_MARGIN_US);
  return until_us > now_us ? until_us : 0;
}
