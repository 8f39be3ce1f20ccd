#include "routing/target_notice.h"

#include <glib.h>
#include <string.h>

#include "base/clock.h"

/* Hosts return after a pause over this share of it, each at a time of its own. They were
 * asked within a short time of each other, so without the spread they would all return at
 * once and overload the target again. */
#define RETURN_SPREAD_SHARE 0.5
/* Longest spread, so that a long pause does not delay the last hosts by minutes. */
#define RETURN_SPREAD_MAX_US (2 * JD_US_PER_S)
/* A longer pause is shortened to this; the target may repeat it. */
#define PAUSE_MAX_US (3600 * JD_US_PER_S)
#define PAUSE_TEXT_MAX 32

/* Creates the notice of a process that has said nothing yet, with one reference. */
jd_target_notice_t *
jd_target_notice_new (const jd_target_process_t *process)
{
  jd_target_notice_t *notice = g_new0 (jd_target_notice_t, 1);
  notice->references = 1;
  notice->process = *process;
  return notice;
}

/* Adds a reference and returns the notice. */
jd_target_notice_t *
jd_target_notice_ref (jd_target_notice_t *notice)
{
  notice->references++;
  return notice;
}

/* Drops a reference; the last one frees the notice. */
void
jd_target_notice_unref (jd_target_notice_t *notice)
{
  if (--notice->references == 0)
    g_free (notice);
}

/* Returns TRUE if the notice still applies to a target whose record names this process.
 * A process that was started later has said nothing yet; a record that is older than the
 * notice does not end it. Without start times the address identifies the process. */
bool
jd_target_notice_applies (const jd_target_notice_t *notice,
                          const jd_target_process_t *process)
{
  if (notice->process.born_ms > 0 && process->born_ms > 0)
    return process->born_ms <= notice->process.born_ms;
  return notice->process.address.sin_addr.s_addr == process->address.sin_addr.s_addr &&
         notice->process.address.sin_port == process->address.sin_port;
}

/* Records that the target is leaving. Returns TRUE if that is new. */
bool
jd_target_notice_set_leaving (jd_target_notice_t *notice, int64_t now_us)
{
  if (notice->leaving_since_us != 0)
    return false;
  notice->leaving_since_us = now_us;
  return true;
}

/* Records that the target wants no requests for some time. draw, 0 to 1, places the
 * return of this host among the others. A pause that ends earlier than the current one
 * changes nothing. Returns TRUE if there was no pause before. */
bool
jd_target_notice_set_pause (jd_target_notice_t *notice, int64_t duration_us, double draw,
                            int64_t now_us)
{
  int64_t until_us = now_us + MIN (duration_us, PAUSE_MAX_US);
  if (duration_us <= 0 || until_us <= notice->paused_until_us)
    return false;
  double spread_us = MIN (RETURN_SPREAD_SHARE * (double)(until_us - now_us),
                          (double)RETURN_SPREAD_MAX_US);
  bool is_new = notice->paused_since_us == 0;
  if (is_new)
    notice->paused_since_us = now_us;
  notice->paused_until_us = until_us;
  notice->return_at_us =
      MAX (notice->return_at_us, until_us + (int64_t)(draw * spread_us));
  return is_new;
}

/* Ends a pause that is over. Returns TRUE if it did. */
bool
jd_target_notice_end_pause (jd_target_notice_t *notice, int64_t now_us)
{
  if (notice->paused_since_us == 0 || now_us < notice->return_at_us)
    return false;
  notice->paused_since_us = 0;
  return true;
}

/* Returns whether requests may be sent to the target. A leaving target is a last resort
 * until drain_limit_us after its first answer that said so. */
jd_target_access_t
jd_target_notice_access (const jd_target_notice_t *notice, int64_t drain_limit_us,
                         int64_t now_us)
{
  if (now_us < notice->return_at_us)
    return JD_TARGET_ACCESS_CLOSED;
  if (notice->leaving_since_us == 0)
    return JD_TARGET_ACCESS_OPEN;
  return now_us - notice->leaving_since_us < drain_limit_us ? JD_TARGET_ACCESS_LAST_RESORT
                                                            : JD_TARGET_ACCESS_CLOSED;
}

/* Returns the time until a request may be sent to the target: 0 if it may be sent now,
 * INT64_MAX if this process of the target gets no request any more. */
int64_t
jd_target_notice_open_in_us (const jd_target_notice_t *notice, int64_t drain_limit_us,
                             int64_t now_us)
{
  int64_t open_at_us = MAX (notice->return_at_us, now_us);
  return jd_target_notice_access (notice, drain_limit_us, open_at_us) ==
                 JD_TARGET_ACCESS_CLOSED
             ? INT64_MAX
             : open_at_us - now_us;
}

/* Parses the time for which a target wants no requests: seconds as digits, with or
 * without a fraction. Returns FALSE, with duration_us unchanged, for anything else, such
 * as a date. */
bool
jd_target_notice_parse_pause (const char *text, int64_t *duration_us)
{
  size_t length = strlen (text);
  size_t whole = strspn (text, "0123456789");
  size_t fraction = text[whole] == '.' ? strspn (text + whole + 1, "0123456789") : 0;
  bool is_complete = text[whole] == '.' ? fraction > 0 && whole + 1 + fraction == length
                                        : whole == length;
  if (whole == 0 || length > PAUSE_TEXT_MAX || !is_complete)
    return false;
  double seconds = g_ascii_strtod (text, NULL);
  *duration_us = (int64_t)(MIN (seconds, (double)PAUSE_MAX_US / (double)JD_US_PER_S) *
                           (double)JD_US_PER_S);
  return true;
}
