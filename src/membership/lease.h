#pragma once

#include <glib.h>

#include "membership/lease_defs.h"
#include "membership/lease_settings.h"

/* The acknowledged lease of one member of a group: a state machine that does no I/O and
 * reads no clock. All times are microseconds of the process's own monotonic clock. Not
 * thread safe. docs/design.md section 4.1 describes the protocol. */
typedef struct jd_lease jd_lease_t;

/* Sends a heartbeat to the listed address of a member, which may be the sender itself:
 * its own vote, too, counts only while this process answers at the listed address. */
typedef void (*jd_lease_send_t) (void *context, const char *to_member,
                                 const jd_heartbeat_t *heartbeat);

typedef struct jd_lease_options
{
  const char *member;
  uint64_t incarnation; /* Higher than that of any earlier process of this member. */
  const char *const *members; /* All members of the group in the published order. */
  uint32_t member_count;
  jd_lease_settings_t settings;
  jd_lease_send_t send;
  void *context;
} jd_lease_options_t;

/* A time before any now_us, for conditions that do not hold. */
#define JD_LEASE_NEVER INT64_MIN

jd_lease_t *jd_lease_new (const jd_lease_options_t *options, int64_t now_us);
void jd_lease_free (jd_lease_t *lease);

/* Events. */
void jd_lease_tick (jd_lease_t *lease, int64_t now_us);
gboolean jd_lease_on_heartbeat (jd_lease_t *lease, const jd_heartbeat_t *heartbeat,
                                int64_t now_us, jd_heartbeat_ack_t *ack);
void jd_lease_on_ack (jd_lease_t *lease, const jd_heartbeat_ack_t *ack, int64_t now_us);
void jd_lease_set_members (jd_lease_t *lease, const char *const *members, uint32_t count,
                           int64_t now_us);
void jd_lease_set_state (jd_lease_t *lease, jd_member_state_t state, int64_t now_us);
void jd_lease_reactivate (jd_lease_t *lease, uint64_t incarnation, int64_t now_us);

/* Queries. */
int64_t jd_lease_next_tick_us (const jd_lease_t *lease);
gboolean jd_lease_is_held (const jd_lease_t *lease, int64_t now_us);
int64_t jd_lease_valid_until_us (const jd_lease_t *lease, int64_t now_us);
int64_t jd_lease_down_until_us (const jd_lease_t *lease, uint32_t member_index);
jd_member_state_t jd_lease_state (const jd_lease_t *lease);
uint64_t jd_lease_incarnation (const jd_lease_t *lease);
uint32_t jd_lease_member_count (const jd_lease_t *lease);
const char *jd_lease_member_name (const jd_lease_t *lease, uint32_t member_index);
const char *jd_lease_own_member (const jd_lease_t *lease);
