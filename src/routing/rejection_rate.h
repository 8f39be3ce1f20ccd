#pragma once

#include <stdbool.h>
#include <stdint.h>

/* How often a target rejects requests although it reports free slots. Such a target is
 * faulty, not full: waiting or sending less does not help, and each rejection uses up an
 * extra attempt. Counts decay, so that a target that gets no requests is tried again. A
 * zeroed rate is that of a target that rejects nothing. */
typedef struct jd_rejection_rate
{
  double answers;    /* Recent answers of the target to all hosts, as far as known. */
  double rejections; /* Those that rejected the request. */
  int64_t updated_us;
  uint32_t unreported_answers;    /* Answers to this host that other hosts do not know. */
  uint32_t unreported_rejections; /* Rejections among them. */
} jd_rejection_rate_t;

/* Answers that one host reports to the others. */
typedef struct jd_rejection_count
{
  uint32_t answers;
  uint32_t rejections;
} jd_rejection_count_t;

void jd_rejection_rate_record (jd_rejection_rate_t *rate, bool is_rejection,
                               int64_t now_us);
void jd_rejection_rate_apply_report (jd_rejection_rate_t *rate,
                                     const jd_rejection_count_t *count, int64_t now_us);
bool jd_rejection_rate_collect_report (jd_rejection_rate_t *rate,
                                       jd_rejection_count_t *count);
double jd_rejection_rate_share (const jd_rejection_rate_t *rate, int64_t now_us);
double jd_rejection_rate_extra_attempts (double share);
