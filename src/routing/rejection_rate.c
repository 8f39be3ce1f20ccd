#include "routing/rejection_rate.h"

#include <glib.h>
#include <math.h>

#include "base/clock.h"

/* Time constant of the counts: long enough for some answers of a target at one host or
 * reports of several, short enough to notice its recovery within seconds. */
#define DECAY_US (2 * JD_US_PER_S)
/* Good answers that are assumed of each target, so that a single rejection, which may be
 * a race for its last slot, is little evidence. */
#define ASSUMED_ANSWERS 2.0
/* Shares above this are not told apart. */
#define SHARE_MAX 0.9

/* Decays the counts by their age. */
static void
decay (jd_rejection_rate_t *rate, int64_t now_us)
{
  double keep = exp (-(double)MAX (now_us - rate->updated_us, 0) / (double)DECAY_US);
  rate->answers *= keep;
  rate->rejections *= keep;
  rate->updated_us = MAX (rate->updated_us, now_us);
}

/* Adds answers to the counts. */
static void
add (jd_rejection_rate_t *rate, const jd_rejection_count_t *count, int64_t now_us)
{
  decay (rate, now_us);
  rate->answers += count->answers;
  rate->rejections += MIN (count->rejections, count->answers);
}

/* Records an answer of the target to this host. */
void
jd_rejection_rate_record (jd_rejection_rate_t *rate, bool is_rejection, int64_t now_us)
{
  jd_rejection_count_t count = { .answers = 1, .rejections = is_rejection };
  add (rate, &count, now_us);
  rate->unreported_answers++;
  rate->unreported_rejections += is_rejection;
}

/* Adds the answers of the target to another host. */
void
jd_rejection_rate_apply_report (jd_rejection_rate_t *rate,
                                const jd_rejection_count_t *count, int64_t now_us)
{
  add (rate, count, now_us);
}

/* Moves the unreported answers to count. Returns FALSE, and drops them, if there is no
 * rejection among them: other hosts need not know of a target that rejects nothing. */
bool
jd_rejection_rate_collect_report (jd_rejection_rate_t *rate, jd_rejection_count_t *count)
{
  *count = (jd_rejection_count_t){ .answers = rate->unreported_answers,
                                   .rejections = rate->unreported_rejections };
  rate->unreported_answers = rate->unreported_rejections = 0;
  return count->rejections > 0;
}

/* Returns the estimated share of requests that the target rejects, 0 to SHARE_MAX. */
double
jd_rejection_rate_share (const jd_rejection_rate_t *rate, int64_t now_us)
{
  if (rate->rejections <= 0.0)
    return 0.0;
  double keep = exp (-(double)MAX (now_us - rate->updated_us, 0) / (double)DECAY_US);
  double share = rate->rejections * keep / (rate->answers * keep + ASSUMED_ANSWERS);
  return MIN (share, SHARE_MAX);
}

/* Returns how many attempts beyond the first one a request needs on average until a
 * target that rejects this share of requests takes it. */
double
jd_rejection_rate_extra_attempts (double share)
{
  share = CLAMP (share, 0.0, SHARE_MAX);
  return share / (1.0 - share);
}
