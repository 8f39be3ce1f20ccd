#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "soak/soak.h"

/* Returns the call that a request id names, or NULL. */
static jd_soak_call_t *
find_call (const jd_soak_t *soak, const char *id)
{
  guint number = 0;
  if (sscanf (id, "soak-%u-", &number) != 1 || number >= soak->calls->len)
    return NULL;
  return soak->calls->pdata[number];
}

/* Counts a violation of a rule and prints it; id is a request id, or "-" for none. */
void
jd_soak_report_violation (jd_soak_t *soak, const char *rule, const char *id,
                          const char *detail)
{
  const jd_soak_call_t *call = find_call (soak, id);
  soak->violation_count++;
  soak->found_injected |= strcmp (rule, soak->injected_rule) == 0;
  printf ("violation rule=%s id=%s host=%d at_ms=%" G_GINT64_FORMAT " %s\n", rule, id,
          call ? (int)call->host : -1,
          (jd_monotonic_us () - soak->start_us) / JD_US_PER_MS, detail);
}

/* Returns TRUE if the run injects a violation of this rule. */
bool
jd_soak_injects (const jd_soak_t *soak, const char *rule)
{
  return strcmp (soak->injected_rule, rule) == 0;
}

/* Returns TRUE if neither the host nor the store was disturbed for
 * JD_SOAK_UNDISTURBED_US, so that time bounds hold for the host. */
bool
jd_soak_is_undisturbed (const jd_soak_t *soak, uint32_t host, int64_t at_us)
{
  return at_us - soak->hosts[host].last_disturbed_us >= JD_SOAK_UNDISTURBED_US &&
         at_us - soak->store_disturbed_us >= JD_SOAK_UNDISTURBED_US;
}

/* Adds an event to the window. Returns TRUE if more events than the limit fall within
 * length_us; the limit must be below JD_SOAK_WINDOW_MAX_EVENTS. */
static bool
event_exceeds_limit (jd_soak_window_t *window, uint32_t limit, int64_t length_us,
                     int64_t now_us)
{
  window->times_us[window->count++ % JD_SOAK_WINDOW_MAX_EVENTS] = now_us;
  if (window->count <= limit)
    return false;
  uint32_t compared_index = (window->count - 1 - limit) % JD_SOAK_WINDOW_MAX_EVENTS;
  return now_us - window->times_us[compared_index] < length_us;
}

/* Checks the rate limit of the tenant that has one, over all targets and hosts. */
static void
check_rate (jd_soak_t *soak, jd_soak_call_t *call, int64_t now_us)
{
  if (call->key != JD_SOAK_KEY_CLUB || call->counted_for_rate)
    return;
  call->counted_for_rate = true;
  if (event_exceeds_limit (&soak->club_runs, JD_SOAK_CLUB_MAX_REQUESTS,
                           JD_SOAK_CLUB_WINDOW_US, now_us))
    jd_soak_report_violation (soak, "rate_limit", call->id,
                              "tenant exceeds its rate limit");
}

/* Checks that a request does not come from a host that its target has told that it is
 * leaving, later than the drain limit, or that it wants a pause. Records what the target
 * tells the host in its answer, which may be lost if links are disturbed. */
static void
check_told (jd_soak_t *soak, jd_soak_target_t *target, const jd_soak_call_t *call,
            int64_t now_us)
{
  jd_soak_told_t *told = &target->told[call->host];
  uint32_t start_number = soak->hosts[call->host].start_count;
  bool is_undisturbed =
      now_us - soak->links_disturbed_us >= JD_SOAK_UNDISTURBED_US &&
      now_us - soak->hosts[call->host].last_disturbed_us >= JD_SOAK_UNDISTURBED_US;
  if (told->host_start_number != start_number || !is_undisturbed)
    *told = (jd_soak_told_t){ .host_start_number = start_number };
  if (target->says_leaving && told->leaving_us > 0 &&
      call->sent_us - told->leaving_us > JD_SOAK_DRAIN_LIMIT_US)
    jd_soak_report_violation (soak, "told_leaving", call->id,
                              "request reached a target that said it is leaving");
  /* Injected: the host behaves as if the target had not asked for a pause. */
  bool is_paused = target->is_paused || jd_soak_injects (soak, "told_pause");
  int64_t paused_for_us = told->pause_us > 0 ? now_us - told->pause_us : INT64_MAX;
  if (is_paused && paused_for_us > JD_SOAK_PAUSE_TOLERANCE_US &&
      paused_for_us < JD_SOAK_PAUSE_US &&
      ++told->requests_in_pause > JD_SOAK_PAUSE_MAX_REQUESTS)
    jd_soak_report_violation (soak, "told_pause", call->id,
                              "requests reached a target during its pause");
  if (!is_undisturbed)
    return;
  if (target->says_leaving && told->leaving_us == 0)
    told->leaving_us = now_us;
  if (is_paused && paused_for_us >= JD_SOAK_PAUSE_US)
    {
      told->pause_us = now_us;
      told->requests_in_pause = 0;
    }
}

/* Returns the number of events of a window between two times. */
static uint32_t
count_events (const jd_soak_window_t *window, int64_t from_us, int64_t to_us)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < MIN (window->count, JD_SOAK_WINDOW_MAX_EVENTS); i++)
    count += window->times_us[i] > from_us && window->times_us[i] <= to_us;
  return count;
}

/* Returns how many requests callers sent to a service between two times. */
static uint32_t
count_requests (const jd_soak_t *soak, uint32_t service, int64_t from_us, int64_t to_us)
{
  bool is_shard = service < soak->fixture.shard_count;
  uint32_t count = 0;
  for (guint i = soak->calls->len; i > 0; i--)
    {
      const jd_soak_call_t *call = soak->calls->pdata[i - 1];
      if (call->sent_us <= from_us)
        break;
      count += call->sent_us <= to_us && (call->kind == JD_SOAK_SEARCH) == is_shard;
    }
  return count;
}

/* Checks that the arrivals of requests beyond the first one at a service, from all hosts,
 * stay within the bound of the platform. */
static void
check_extra_arrival (jd_soak_t *soak, jd_soak_call_t *call, uint32_t service,
                     int64_t now_us)
{
  uint64_t bit = UINT64_C (1) << service;
  bool is_first = !(call->arrived_at & bit);
  call->arrived_at |= bit;
  if (is_first)
    return;
  jd_soak_window_t *window = &soak->extra_arrivals[service];
  window->times_us[window->count++ % JD_SOAK_WINDOW_MAX_EVENTS] = now_us;
  int64_t start_us = now_us - JD_SOAK_EXTRA_WINDOW_US;
  uint32_t requests =
      MAX (count_requests (soak, service, start_us, now_us),
           count_requests (soak, service, start_us - JD_SOAK_EXTRA_WINDOW_US, start_us));
  double limit = JD_SOAK_EXTRA_SHARE * requests + JD_SOAK_EXTRA_SLACK;
  if (jd_soak_injects (soak, "extra_bound"))
    limit = 0.0;
  if (count_events (window, start_us, now_us) > limit)
    jd_soak_report_violation (soak, "extra_bound", call->id,
                              "more extra attempts than all hosts may make");
}

/* Observer of the targets: checks a request that arrives at a target. */
void
jd_soak_on_arrival (void *context, jd_shard_target_t *shard_target,
                    const jd_shard_arrival_t *arrival)
{
  jd_soak_t *soak = context;
  int64_t now_us = jd_monotonic_us ();
  uint32_t index = 0;
  while (soak->fixture.targets[index].target != shard_target)
    index++;
  jd_soak_target_t *target = &soak->targets[index];
  jd_soak_call_t *call = find_call (soak, arrival->request_id);
  if (!call || jd_soak_injects (soak, "unasked"))
    {
      jd_soak_report_violation (soak, "unasked", arrival->request_id,
                                "target received a request that no caller sent");
      return;
    }
  const char *expected_tenant = call->key == JD_SOAK_KEY_CLUB ? "club" : "school";
  if (jd_soak_injects (soak, "tenant"))
    expected_tenant = "another";
  if (g_strcmp0 (arrival->tenant, expected_tenant) != 0)
    jd_soak_report_violation (soak, "tenant", call->id,
                              "the request names another tenant than its key");
  if (arrival->will_run)
    check_rate (soak, call, now_us);
  check_told (soak, target, call, now_us);
  /* The two targets of a service are adjacent in the array. */
  check_extra_arrival (soak, call, index / 2, now_us);
  bool is_undisturbed = now_us - soak->links_disturbed_us >= JD_SOAK_UNDISTURBED_US &&
                        jd_soak_is_undisturbed (soak, call->host, now_us);
  if (is_undisturbed && target->withdrawn_us > 0 &&
      now_us - target->withdrawn_us > JD_SOAK_DRAIN_LIMIT_US)
    jd_soak_report_violation (soak, "drain", call->id,
                              "request reached a withdrawn target");
  if (now_us < target->cold_until_us &&
      event_exceeds_limit (&target->cold_arrivals, JD_SOAK_COLD_MAX_ARRIVALS, JD_US_PER_S,
                           now_us))
    jd_soak_report_violation (soak, "cold_limit", call->id,
                              "cold target received more requests than its limit");
  if (call->key == JD_SOAK_KEY_GUEST && !soak->fixture.has_guest_key &&
      call->sent_us - soak->guest_key_changed_us > JD_SOAK_CONFIG_APPLY_LIMIT_US &&
      jd_soak_is_undisturbed (soak, call->host, call->sent_us))
    jd_soak_report_violation (soak, "key_revoked", call->id,
                              "request with a revoked key reached a target");
}

/* Returns how many times all targets together ran a request, and stores the highest
 * number of runs at one service in max_at_service. */
static uint32_t
count_runs (const jd_soak_t *soak, const char *id, uint32_t *max_at_service)
{
  uint32_t runs = 0;
  *max_at_service = 0;
  /* The two targets of a service are adjacent in the array. */
  for (uint32_t i = 0; i + 1 < soak->fixture.target_count; i += 2)
    {
      uint32_t at_service =
          jd_shard_target_run_count (soak->fixture.targets[i].target, id) +
          jd_shard_target_run_count (soak->fixture.targets[i + 1].target, id);
      *max_at_service = MAX (*max_at_service, at_service);
      runs += at_service;
    }
  return runs;
}

/* Checks the answer of a search: it contains parts of this request only, each shard at
 * most once, a correct count of missing parts, and records in order. */
static void
check_search (jd_soak_t *soak, const jd_soak_call_t *call,
              const jd_host_fixture_reply_t *reply)
{
  char **stamps = g_strsplit (reply->stamps ? reply->stamps : "", ", ", -1);
  uint32_t count = g_strv_length (stamps);
  uint32_t missing = reply->missing_parts ? (uint32_t)atoi (reply->missing_parts) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!strstr (stamps[i], call->id))
        jd_soak_report_violation (soak, "whole_answer", call->id,
                                  "answer contains a part of another request");
      for (uint32_t k = 0; k < i; k++)
        {
          if (strcmp (stamps[i], stamps[k]) == 0)
            jd_soak_report_violation (soak, "whole_answer", call->id,
                                      "answer contains a part twice");
        }
    }
  if (count + missing != soak->fixture.shard_count)
    jd_soak_report_violation (soak, "true_coverage", call->id,
                              "parts and missing parts do not add up to the shards");
  if (count < (uint32_t)ceil (0.75 * soak->fixture.shard_count))
    jd_soak_report_violation (soak, "min_coverage", call->id,
                              "answer contains fewer than three quarters of the parts");
  if (reply->body->len != (size_t)4 * 16)
    jd_soak_report_violation (soak, "whole_answer", call->id,
                              "body length is not 64 bytes");
  for (size_t i = 16; i < reply->body->len; i += 16)
    {
      if (memcmp (reply->body->str + i - 16, reply->body->str + i, 16) < 0)
        jd_soak_report_violation (soak, "whole_answer", call->id,
                                  "records are not in order");
    }
  g_strfreev (stamps);
}

/* Returns TRUE if a target runs a request that a host has not answered yet, and that was
 * sent at most max_age_us ago. */
bool
jd_soak_has_running_call (const jd_soak_t *soak, uint32_t host, int64_t max_age_us)
{
  int64_t oldest_us = jd_monotonic_us () - max_age_us;
  for (guint i = 0; i < soak->calls->len; i++)
    {
      const jd_soak_call_t *call = soak->calls->pdata[i];
      uint32_t max_at_service = 0;
      if (call->host == host && !call->is_answered && call->sent_us >= oldest_us &&
          count_runs (soak, call->id, &max_at_service) > 0)
        return true;
    }
  return false;
}

/* Returns the newest configuration version that was published by at_us. */
static int64_t
version_at (const jd_soak_t *soak, int64_t at_us)
{
  guint count = soak->published_us->len;
  while (count > 0 && g_array_index (soak->published_us, int64_t, count - 1) > at_us)
    count--;
  return count;
}

/* Derives from the answer to a probe which configuration versions the host may have
 * applied, and checks that it applies published versions in time and never returns to an
 * older one. */
static void
check_probe (jd_soak_t *soak, const jd_soak_call_t *call,
             const jd_host_fixture_reply_t *reply)
{
  jd_soak_host_t *host = &soak->hosts[call->host];
  int64_t now_us = jd_monotonic_us ();
  int64_t probed = call->probed_version, newest = soak->fixture.version;
  if ((reply->status != 200 && reply->status != 404) ||
      call->host_start_number != host->start_count)
    return;
  bool has_route = reply->status == 200;
  /* The route of a version is also in the next JD_HOST_FIXTURE_OLDER_ROUTES versions. */
  int64_t oldest_with = probed, newest_with = probed + JD_HOST_FIXTURE_OLDER_ROUTES;
  bool has_older_version = !has_route && newest <= newest_with;
  int64_t highest = has_route           ? MIN (newest_with, newest)
                    : has_older_version ? oldest_with - 1
                                        : newest;
  int64_t lowest = has_route ? oldest_with : 0;
  if (call->sent_us - host->config_version_us > JD_SOAK_ROLLBACK_TOLERANCE_US &&
      highest < host->config_version)
    jd_soak_report_violation (soak, "config_back", call->id,
                              "the host returned to an older configuration");
  int64_t required_version =
      version_at (soak, call->sent_us - JD_SOAK_CONFIG_APPLY_LIMIT_US);
  if (highest < required_version &&
      jd_soak_is_undisturbed (soak, call->host, call->sent_us))
    jd_soak_report_violation (
        soak, "config_late", call->id,
        "the host has not applied a published configuration in time");
  if (jd_soak_injects (soak, "config_back"))
    lowest = newest + 1;
  if (lowest > host->config_version)
    {
      host->config_version = lowest;
      host->config_version_us = now_us;
    }
}

/* Changes a reply and its run counts so that they violate the injected rule. */
static void
inject_violation (const jd_soak_t *soak, const jd_soak_call_t *call,
                  jd_host_fixture_reply_t *reply, uint32_t *runs,
                  uint32_t *max_at_service)
{
  bool is_search_answer = call->kind == JD_SOAK_SEARCH && reply->status == 200;
  if (jd_soak_injects (soak, "whole_answer") && is_search_answer)
    reply->stamps = (char *)"soak-none-";
  if (jd_soak_injects (soak, "true_coverage") && is_search_answer)
    reply->missing_parts = (char *)"9";
  if (jd_soak_injects (soak, "min_coverage") && is_search_answer)
    reply->stamps = (char *)call->id;
  if (jd_soak_injects (soak, "at_most_once") && call->kind == JD_SOAK_EDIT)
    *runs = 2;
  if (jd_soak_injects (soak, "attempts"))
    *max_at_service = JD_SOAK_MAX_ATTEMPTS + 1;
  if (jd_soak_injects (soak, "not_run") && call->kind == JD_SOAK_EDIT && *runs > 0)
    reply->status = 503;
  if (jd_soak_injects (soak, "denied"))
    reply->status = 401;
  if (jd_soak_injects (soak, "nothing_cut") || jd_soak_injects (soak, "answer_in_time"))
    reply->status = 0;
  if (jd_soak_injects (soak, "answer_in_time"))
    reply->timed_out = true;
}

/* Checks that a request with a valid key and route was not denied, and that no tenant
 * without a rate limit received status 429. */
static void
check_denied (jd_soak_t *soak, const jd_soak_call_t *call, uint32_t status)
{
  bool may_lack_key =
      call->key == JD_SOAK_KEY_GUEST &&
      (!soak->fixture.has_guest_key ||
       call->sent_us - soak->guest_key_changed_us <= JD_SOAK_CONFIG_APPLY_LIMIT_US ||
       !jd_soak_is_undisturbed (soak, call->host, call->sent_us));
  if ((status == 401 && !may_lack_key) ||
      (status == 404 && call->kind != JD_SOAK_PROBE) ||
      (status == 429 && call->key != JD_SOAK_KEY_CLUB))
    jd_soak_report_violation (soak, "denied", call->id, "allowed request was denied");
}

/* Checks that a connection did not end without an answer and that an answer did not time
 * out, unless the host was disturbed. A stopping host may refuse connections until its
 * process ends, but it must answer requests that ran, also those sent meanwhile. */
static void
check_missing_answer (jd_soak_t *soak, const jd_soak_call_t *call,
                      const jd_host_fixture_reply_t *reply, uint32_t runs)
{
  const jd_soak_host_t *host = &soak->hosts[call->host];
  int64_t undisturbed_since_us = call->sent_us - JD_SOAK_UNDISTURBED_US;
  bool is_undisturbed = host->last_disturbed_us < undisturbed_since_us && !host->stopping;
  if (reply->status != 0)
    return;
  if (is_undisturbed && reply->timed_out)
    jd_soak_report_violation (soak, "answer_in_time", call->id,
                              "no answer from an undisturbed host");
  else if (is_undisturbed)
    jd_soak_report_violation (
        soak, "nothing_cut", call->id,
        "an undisturbed host closed the connection without an answer");
  else if (host->last_kill_or_pause_us < undisturbed_since_us &&
           (host->stopping || host->last_sigterm_us >= call->sent_us) && runs > 0)
    jd_soak_report_violation (
        soak, "graceful_stop", call->id,
        "a stopping host closed the connection of a request that ran");
}

/* Checks that no search is refused because records of targets expired while the store was
 * away: all targets are sound and answer. */
static void
check_lapse (jd_soak_t *soak, const jd_soak_call_t *call, uint32_t status)
{
  int64_t quiet_since_us = call->sent_us - JD_SOAK_UNDISTURBED_US;
  bool is_injected = jd_soak_injects (soak, "lapse_refused");
  bool is_lapse = soak->lapse_started_us > 0 && call->sent_us >= soak->lapse_started_us &&
                  call->sent_us < soak->store_disturbed_us + JD_SOAK_UNDISTURBED_US;
  bool is_otherwise_sound =
      soak->hosts[call->host].last_disturbed_us < quiet_since_us &&
      !soak->hosts[call->host].stopping && soak->links_disturbed_us < quiet_since_us &&
      soak->targets_fault_end_us == 0 && soak->targets_sound_us < quiet_since_us &&
      soak->withdrawal_end_us == 0 && soak->notice_end_us == 0;
  if (call->kind == JD_SOAK_SEARCH && call->key == JD_SOAK_KEY_DEFAULT && status == 503 &&
      is_lapse && (is_injected || is_otherwise_sound))
    jd_soak_report_violation (soak, "lapse_refused", call->id,
                              "search refused although all targets are sound");
}

/* Reply callback: checks the reply that a caller received. */
void
jd_soak_on_reply (void *context, const jd_host_fixture_reply_t *received)
{
  jd_soak_call_t *call = context;
  jd_soak_t *soak = call->soak;
  jd_host_fixture_reply_t checked = *received;
  const jd_host_fixture_reply_t *reply = &checked;
  uint32_t max_at_service = 0;
  uint32_t runs = count_runs (soak, call->id, &max_at_service);
  inject_violation (soak, call, &checked, &runs, &max_at_service);
  soak->open_calls--;
  call->is_answered = true;
  bool is_success = reply->status == 200;
  bool is_edit = call->kind == JD_SOAK_EDIT;
  bool lacks_probed_route = call->kind == JD_SOAK_PROBE && reply->status == 404;
  /* Requests with the other keys may be refused, so they count as served in any case. */
  soak->served_calls +=
      is_success || lacks_probed_route || call->key != JD_SOAK_KEY_DEFAULT;
  if (is_edit && runs > 1)
    jd_soak_report_violation (soak, "at_most_once", call->id, "edit ran more than once");
  if (max_at_service > JD_SOAK_MAX_ATTEMPTS)
    jd_soak_report_violation (soak, "attempts", call->id,
                              "more attempts than the route allows");
  if (is_edit && runs > 0 && (reply->status == 503 || reply->status == 429))
    jd_soak_report_violation (soak, "not_run", call->id, "refused edit ran");
  if (reply->has_extra_bytes)
    jd_soak_report_violation (soak, "whole_answer", call->id, "bytes after the answer");
  if (is_success && call->kind != JD_SOAK_SEARCH &&
      (!reply->stamps || !strstr (reply->stamps, call->id)))
    jd_soak_report_violation (soak, "whole_answer", call->id,
                              "answer of another request");
  if (is_success && call->kind == JD_SOAK_SEARCH)
    check_search (soak, call, reply);
  if (call->kind == JD_SOAK_PROBE)
    check_probe (soak, call, reply);
  check_denied (soak, call, reply->status);
  check_lapse (soak, call, reply->status);
  check_missing_answer (soak, call, reply, runs);
}
