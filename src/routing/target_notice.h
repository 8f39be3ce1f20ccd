#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/* Whether requests may be sent to a target, by what it said about itself. */
typedef enum jd_target_access
{
  JD_TARGET_ACCESS_OPEN,
  JD_TARGET_ACCESS_LAST_RESORT, /* Only if no other target can get the request. */
  JD_TARGET_ACCESS_CLOSED,
} jd_target_access_t;

/* The process of a target, as its published record identifies it. */
typedef struct jd_target_process
{
  int64_t born_ms; /* Wall-clock start time; 0: unknown. */
  struct sockaddr_in address;
} jd_target_process_t;

/* What one process of a target has said about itself in its answers to this host. It
 * outlives the replica, because the record of the process may be removed from the store
 * and published again. */
typedef struct jd_target_notice
{
  uint32_t references;
  jd_target_process_t process;
  int64_t leaving_since_us; /* First answer that said that it is leaving; 0: none. */
  int64_t paused_since_us;  /* First answer that asked for the pause; 0: no pause. */
  int64_t paused_until_us;  /* End of the pause that the target asked for. */
  int64_t return_at_us;     /* Time at which this host sends requests again. */
  int64_t removed_us;       /* Time at which its record was removed; 0: published. */
} jd_target_notice_t;

jd_target_notice_t *jd_target_notice_new (const jd_target_process_t *process);
jd_target_notice_t *jd_target_notice_ref (jd_target_notice_t *notice);
void jd_target_notice_unref (jd_target_notice_t *notice);
bool jd_target_notice_applies (const jd_target_notice_t *notice,
                               const jd_target_process_t *process);
bool jd_target_notice_set_leaving (jd_target_notice_t *notice, int64_t now_us);
bool jd_target_notice_set_pause (jd_target_notice_t *notice, int64_t duration_us,
                                 double draw, int64_t now_us);
bool jd_target_notice_end_pause (jd_target_notice_t *notice, int64_t now_us);
jd_target_access_t jd_target_notice_access (const jd_target_notice_t *notice,
                                            int64_t drain_limit_us, int64_t now_us);
int64_t jd_target_notice_open_in_us (const jd_target_notice_t *notice,
                                     int64_t drain_limit_us, int64_t now_us);
bool jd_target_notice_parse_pause (const char *text, int64_t *duration_us);
