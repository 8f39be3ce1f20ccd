#pragma once

#include <stdint.h>

#include "base/name.h"

#define JD_GROUP_MAX_MEMBERS 9

/* What a member of a group reports about its own work. */
typedef enum jd_member_state
{
  JD_MEMBER_ACTIVE = 0,
  JD_MEMBER_DRAINING = 1, /* Accepts no new work; some is still running. */
  JD_MEMBER_RELEASED = 2, /* This incarnation never uses an owned resource again. */
} jd_member_state_t;

typedef struct jd_heartbeat
{
  jd_name_t member;
  uint64_t incarnation;
  int64_t sent_at_us; /* Clock of the sender; echoed by the acknowledgement. */
  jd_member_state_t state;
} jd_heartbeat_t;

/* What the sender of an acknowledgement reports about one member: its state, and the time
 * since the sender last acknowledged one of its heartbeats. */
typedef struct jd_member_view
{
  jd_name_t member;
  int64_t unacknowledged_us;
  jd_member_state_t state;
} jd_member_view_t;

typedef struct jd_heartbeat_ack
{
  jd_name_t from_member;
  uint64_t from_incarnation;
  jd_name_t to_member;
  uint64_t to_incarnation;
  int64_t echoed_sent_at_us; /* Clock of the member that sent the heartbeat. */
  uint32_t view_count;
  jd_member_view_t views[JD_GROUP_MAX_MEMBERS];
} jd_heartbeat_ack_t;
