#include "base/clock.h"
#include "soak/soak.h"

/* Maximum number of requests without a reply. */
#define MAX_OPEN_CALLS 400
/* Caller timeout; the deadline in the request is 1.5 s. */
#define CALL_TIMEOUT_S 4.0

static const char *const key_headers[] = {
  [JD_SOAK_KEY_DEFAULT] = JD_HOST_FIXTURE_KEY,
  [JD_SOAK_KEY_GUEST] = JD_HOST_FIXTURE_GUEST_KEY,
  [JD_SOAK_KEY_CLUB] = JD_HOST_FIXTURE_CLUB_KEY,
};

/* Sends a request to a random host, unless its process has ended or MAX_OPEN_CALLS
 * requests are open. A host that received SIGTERM gets requests until its process
 * ends. */
static void
send_call (jd_soak_t *soak, jd_soak_kind_t kind, jd_soak_key_t key, const char *target,
           int64_t version)
{
  uint32_t host = (uint32_t)jd_rng_below (&soak->rng, soak->fixture.host_count);
  if (soak->fixture.hosts[host].pid == 0 || soak->open_calls >= MAX_OPEN_CALLS)
    return;
  jd_soak_call_t *call = g_new0 (jd_soak_call_t, 1);
  *call = (jd_soak_call_t){
    .soak = soak,
    .host = host,
    .kind = kind,
    .key = key,
    .probed_version = version,
    .host_start_number = soak->hosts[host].start_count,
    .sent_us = jd_monotonic_us (),
  };
  g_snprintf (call->id, sizeof (call->id), "soak-%u-", soak->calls->len);
  g_ptr_array_add (soak->calls, call);
  bool is_edit = kind == JD_SOAK_EDIT;
  char *text =
      g_strdup_printf ("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
                       "X-Deadline-Ms: 1500\r\n%sContent-Length: %d\r\n\r\n%s",
                       is_edit ? "POST" : "GET", target, call->id, key_headers[key],
                       is_edit ? 4 : 0, is_edit ? "text" : "");
  soak->open_calls++;
  jd_host_fixture_call_async (&soak->fixture, host, text, CALL_TIMEOUT_S,
                              jd_soak_on_reply, call);
  g_free (text);
}

/* Sends a search, a fetch or an edit; one in four is for the tenant with a rate limit. */
void
jd_soak_send_call (jd_soak_t *soak)
{
  static const char *const targets[] = {
    [JD_SOAK_SEARCH] = "/search/1",
    [JD_SOAK_FETCH] = "/fetch/1",
    [JD_SOAK_EDIT] = "/edit/1",
  };
  static const jd_soak_key_t keys[] = { JD_SOAK_KEY_DEFAULT, JD_SOAK_KEY_DEFAULT,
                                        JD_SOAK_KEY_GUEST, JD_SOAK_KEY_CLUB };
  jd_soak_kind_t kind = jd_rng_below (&soak->rng, G_N_ELEMENTS (targets));
  jd_soak_key_t key = keys[jd_rng_below (&soak->rng, G_N_ELEMENTS (keys))];
  send_call (soak, kind, key, targets[kind], 0);
}

/* Sends a request on a route of one of the latest configuration versions. */
void
jd_soak_send_probe (jd_soak_t *soak)
{
  int64_t versions_back =
      (int64_t)jd_rng_below (&soak->rng, JD_HOST_FIXTURE_OLDER_ROUTES + 3U);
  int64_t version = MAX (soak->fixture.version - versions_back, 1);
  char target[32];
  g_snprintf (target, sizeof (target), "/v%" G_GINT64_FORMAT "/", version);
  send_call (soak, JD_SOAK_PROBE, JD_SOAK_KEY_DEFAULT, target, version);
}
