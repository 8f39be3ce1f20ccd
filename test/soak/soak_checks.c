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

/* Reports a broken promise. */
void
jd_soak_violate (jd_soak_t *soak, const char *rule, const char *id, const char *detail)
{
  const jd_soak_call_t *call = find_call (soak, id);
  soak->violations++;
  printf ("violation rule=%s id=%s host=%d at_ms=%" G_GINT64_FORMAT " %s\n", rule, id,
          call ? (int)call->host : -1,
          (jd_monotonic_us () - soak->start_us) / JD_US_PER_MS, detail);
}

/* TRUE when the violation of a rule is to be planted. */
bool
jd_soak_plants (const jd_soak_t *soak, const char *rule)
{
  return strcmp (soak->planted, rule) == 0;
}

/* TRUE when bounds in time hold for a host: it and the store have been calm. */
bool
jd_soak_in_touch (const jd_soak_t *soak, uint32_t host, int64_t at_us)
{
  return at_us - soak->hosts[host].disturbed_us >= JD_SOAK_TOUCH_US &&
         at_us - soak->store_disturbed_us >= JD_SOAK_TOUCH_US;
}

/* Notes that something happened; TRUE when it happened more often than the limit, which
 * is below JD_SOAK_WINDOW_MAX, within a length of time. */
static bool
exceeds (jd_soak_window_t *window, uint32_t limit, int64_t length_us, int64_t now_us)
{
  window->times_us[window->count++ % JD_SOAK_WINDOW_MAX] = now_us;
  if (window->count <= limit)
    return false;
  uint32_t first = (window->count - 1 - limit) % JD_SOAK_WINDOW_MAX;
  return now_us - window->times_us[first] < length_us;
}

/* Checks the rate of the tenant that has one, over all targets and hosts. */
static void
check_rate (jd_soak_t *soak, jd_soak_call_t *call, int64_t now_us)
{
  if (call->key != JD_SOAK_KEY_CLUB || call->counted)
    return;
  call->counted = true;
  if (exceeds (&soak->club, JD_SOAK_CLUB_LIMIT, JD_SOAK_CLUB_WINDOW_US, now_us))
    jd_soak_violate (soak, "rate_limit", call->id, "tenant has more than its rate");
}

/* Target callback: checks a request that arrives at a target. */
void
jd_soak_on_arrival (void *context, jd_shard_target_t *shard_target,
                    const jd_shard_arrival_t *arrival)
{
  jd_soak_t *soak = context;
  int64_t now_us = jd_monotonic_us ();
  uint32_t index = 0;
  while (soak->lab.targets[index].target != shard_target)
    index++;
  jd_soak_target_t *target = &soak->targets[index];
  jd_soak_call_t *call = find_call (soak, arrival->request_id);
  if (!call || jd_soak_plants (soak, "unasked"))
    {
      jd_soak_violate (soak, "unasked", arrival->request_id, "nobody sent this request");
      return;
    }
  const char *owner = call->key == JD_SOAK_KEY_CLUB ? "club" : "school";
  if (jd_soak_plants (soak, "tenant"))
    owner = "another";
  if (g_strcmp0 (arrival->tenant, owner) != 0)
    jd_soak_violate (soak, "tenant", call->id, "the key is of another tenant");
  if (arrival->runs)
    check_rate (soak, call, now_us);
  bool is_calm = now_us - soak->links_disturbed_us >= JD_SOAK_TOUCH_US &&
                 jd_soak_in_touch (soak, call->host, now_us);
  if (is_calm && target->left_us > 0 && now_us - target->left_us > JD_SOAK_DRAIN_US)
    jd_soak_violate (soak, "drain", call->id, "request reaches a target that leaves");
  if (now_us < target->cold_until_us &&
      exceeds (&target->cold, JD_SOAK_COLD_LIMIT, JD_US_PER_S, now_us))
    jd_soak_violate (soak, "cold_limit", call->id, "cold target has more than it bears");
  if (call->key == JD_SOAK_KEY_GUEST && !soak->lab.has_guest_key &&
      call->sent_us - soak->guest_changed_us > JD_SOAK_APPLY_US &&
      jd_soak_in_touch (soak, call->host, call->sent_us))
    jd_soak_violate (soak, "key_revoked", call->id, "request with a key that was taken");
}

/* Returns how often the targets together ran a request; most receives the most runs at
 * one service. */
static uint32_t
runs_of (const jd_soak_t *soak, const char *id, uint32_t *most)
{
  uint32_t runs = 0;
  *most = 0;
  /* The lab has the two targets of a service side by side. */
  for (uint32_t i = 0; i + 1 < soak->lab.target_count; i += 2)
    {
      uint32_t at_service = jd_shard_target_runs (soak->lab.targets[i].target, id) +
                            jd_shard_target_runs (soak->lab.targets[i + 1].target, id);
      *most = MAX (*most, at_service);
      runs += at_service;
    }
  return runs;
}

/* Checks the answer of a search: parts of this request, each shard once, and a true count
 * of those that are missing. */
static void
check_search (jd_soak_t *soak, const jd_soak_call_t *call, const jd_lab_reply_t *reply)
{
  char **signatures = g_strsplit (reply->signatures ? reply->signatures : "", ", ", -1);
  uint32_t count = g_strv_length (signatures);
  uint32_t missing = reply->missing ? (uint32_t)atoi (reply->missing) : 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!strstr (signatures[i], call->id))
        jd_soak_violate (soak, "whole_answer", call->id, "part of another request");
      for (uint32_t k = 0; k < i; k++)
        {
          if (strcmp (signatures[i], signatures[k]) == 0)
            jd_soak_violate (soak, "whole_answer", call->id, "part twice");
        }
    }
  if (count + missing != soak->lab.shards)
    jd_soak_violate (soak, "true_coverage", call->id, "parts and missing parts");
  if (count < (uint32_t)ceil (0.75 * soak->lab.shards))
    jd_soak_violate (soak, "min_coverage", call->id, "too few parts");
  if (reply->body->len != (size_t)4 * 16)
    jd_soak_violate (soak, "whole_answer", call->id, "length of the body");
  for (size_t i = 16; i < reply->body->len; i += 16)
    {
      if (memcmp (reply->body->str + i - 16, reply->body->str + i, 16) < 0)
        jd_soak_violate (soak, "whole_answer", call->id, "order of records");
    }
  g_strfreev (signatures);
}

/* Returns the newest version of the configuration that was published by a time. */
static int64_t
version_at (const jd_soak_t *soak, int64_t at_us)
{
  guint count = soak->published_us->len;
  while (count > 0 && g_array_index (soak->published_us, int64_t, count - 1) > at_us)
    count--;
  return count;
}

/* Checks which versions of the configuration the answer to a probe allows: a host keeps
 * up with the published ones and never goes back. */
static void
check_probe (jd_soak_t *soak, const jd_soak_call_t *call, const jd_lab_reply_t *reply)
{
  jd_soak_host_t *host = &soak->hosts[call->host];
  int64_t now_us = jd_monotonic_us ();
  int64_t probed = call->probed_version, newest = soak->lab.version;
  if ((reply->status != 200 && reply->status != 404) || call->host_start != host->starts)
    return;
  bool has_route = reply->status == 200;
  /* A route of a version is in this and the next few. */
  int64_t oldest_with = probed, newest_with = probed + JD_LAB_OLDER_ROUTES;
  bool is_older = !has_route && newest <= newest_with;
  int64_t highest = has_route  ? MIN (newest_with, newest)
                    : is_older ? oldest_with - 1
                               : newest;
  int64_t lowest = has_route ? oldest_with : 0;
  if (call->sent_us - host->version_us > JD_SOAK_ROLLBACK_US && highest < host->version)
    jd_soak_violate (soak, "config_back", call->id, "an older version is in force again");
  int64_t due = version_at (soak, call->sent_us - JD_SOAK_APPLY_US);
  if (highest < due && jd_soak_in_touch (soak, call->host, call->sent_us))
    jd_soak_violate (soak, "config_late", call->id, "the newest version is not in force");
  if (jd_soak_plants (soak, "config_back"))
    lowest = newest + 1;
  if (lowest > host->version)
    {
      host->version = lowest;
      host->version_us = now_us;
    }
}

/* Changes what a caller got so that it breaks the rule that is planted. */
static void
plant_violation (const jd_soak_t *soak, const jd_soak_call_t *call, jd_lab_reply_t *reply,
                 uint32_t *runs, uint32_t *most)
{
  bool is_search_answer = call->kind == JD_SOAK_SEARCH && reply->status == 200;
  if (jd_soak_plants (soak, "whole_answer") && is_search_answer)
    reply->signatures = (char *)"soak-none-";
  if (jd_soak_plants (soak, "true_coverage") && is_search_answer)
    reply->missing = (char *)"9";
  if (jd_soak_plants (soak, "min_coverage") && is_search_answer)
    reply->signatures = (char *)call->id;
  if (jd_soak_plants (soak, "at_most_once") && call->kind == JD_SOAK_EDIT)
    *runs = 2;
  if (jd_soak_plants (soak, "attempts"))
    *most = JD_SOAK_ATTEMPTS + 1;
  if (jd_soak_plants (soak, "not_run") && call->kind == JD_SOAK_EDIT && *runs > 0)
    reply->status = 503;
  if (jd_soak_plants (soak, "denied"))
    reply->status = 401;
  if (jd_soak_plants (soak, "nothing_cut") || jd_soak_plants (soak, "answer_in_time"))
    reply->status = 0;
  if (jd_soak_plants (soak, "answer_in_time"))
    reply->timed_out = true;
}

/* Checks that a request with a valid key and route was not denied, or refused for a rate
 * that its tenant does not have. */
static void
check_denied (jd_soak_t *soak, const jd_soak_call_t *call, uint32_t status)
{
  bool may_lack_key = call->key == JD_SOAK_KEY_GUEST &&
                      (!soak->lab.has_guest_key ||
                       call->sent_us - soak->guest_changed_us <= JD_SOAK_APPLY_US ||
                       !jd_soak_in_touch (soak, call->host, call->sent_us));
  if ((status == 401 && !may_lack_key) ||
      (status == 404 && call->kind != JD_SOAK_PROBE) ||
      (status == 429 && call->key != JD_SOAK_KEY_CLUB))
    jd_soak_violate (soak, "denied", call->id, "allowed request was denied");
}

/* Checks that a connection did not end without an answer, or an answer stay out, unless
 * the host was disturbed. */
static void
check_cut (jd_soak_t *soak, const jd_soak_call_t *call, const jd_lab_reply_t *reply,
           uint32_t runs)
{
  const jd_soak_host_t *host = &soak->hosts[call->host];
  int64_t calm_us = call->sent_us - JD_SOAK_TOUCH_US;
  if (reply->status != 0)
    return;
  if (host->disturbed_us < calm_us && reply->timed_out)
    jd_soak_violate (soak, "answer_in_time", call->id, "no answer from a calm host");
  else if (host->disturbed_us < calm_us)
    jd_soak_violate (soak, "nothing_cut", call->id, "connection of a calm host ended");
  else if (host->harmed_us < calm_us && host->term_us >= call->sent_us && runs > 0)
    jd_soak_violate (soak, "graceful_stop", call->id, "a stopping host cut a request");
}

/* Call callback: checks what a caller got. */
void
jd_soak_on_reply (void *context, const jd_lab_reply_t *received)
{
  jd_soak_call_t *call = context;
  jd_soak_t *soak = call->soak;
  jd_lab_reply_t seen = *received;
  const jd_lab_reply_t *reply = &seen;
  uint32_t most = 0;
  uint32_t runs = runs_of (soak, call->id, &most);
  plant_violation (soak, call, &seen, &runs, &most);
  soak->open--;
  bool is_success = reply->status == 200;
  bool is_edit = call->kind == JD_SOAK_EDIT;
  bool has_old_route = call->kind == JD_SOAK_PROBE && reply->status == 404;
  /* Requests with the other keys may be refused. */
  soak->served += is_success || has_old_route || call->key != JD_SOAK_KEY_LAB;
  if (is_edit && runs > 1)
    jd_soak_violate (soak, "at_most_once", call->id, "edit ran again");
  if (most > JD_SOAK_ATTEMPTS)
    jd_soak_violate (soak, "attempts", call->id, "more attempts than the route allows");
  if (is_edit && runs > 0 && (reply->status == 503 || reply->status == 429))
    jd_soak_violate (soak, "not_run", call->id, "refused edit ran");
  if (reply->stray_bytes)
    jd_soak_violate (soak, "whole_answer", call->id, "bytes after the answer");
  if (is_success && call->kind != JD_SOAK_SEARCH &&
      (!reply->signatures || !strstr (reply->signatures, call->id)))
    jd_soak_violate (soak, "whole_answer", call->id, "answer of another request");
  if (is_success && call->kind == JD_SOAK_SEARCH)
    check_search (soak, call, reply);
  if (call->kind == JD_SOAK_PROBE)
    check_probe (soak, call, reply);
  check_denied (soak, call, reply->status);
  check_cut (soak, call, reply, runs);
}
