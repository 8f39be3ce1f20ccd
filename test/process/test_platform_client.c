#include "transport/platform_client.h"

#include <string.h>

#include "stand_ins/platform_server.h"
#include "support/http_call.h"
#include "support/test_main.h"

/* A platform with one record in this process, and what a client hands over. */
typedef struct fixture
{
  jd_timer_queue_t *timers;
  jd_platform_t *platform;
  jd_platform_client_t *client;
  char *url;
  jd_philox_t random;
  GMutex lock; /* Guards the members below. */
  char *fleet;
  char *hosts;
  uint32_t records;
} fixture_t;

/* Client callback. */
static void
on_record (void *context, const char *name, const char *text, size_t length)
{
  fixture_t *fixture = context;
  g_mutex_lock (&fixture->lock);
  fixture->records++;
  if (strcmp (name, "fleet") == 0)
    {
      g_free (fixture->fleet);
      fixture->fleet = g_strndup (text, length);
    }
  g_mutex_unlock (&fixture->lock);
}

/* Client callback. */
static void
on_hosts (void *context, const char *text, size_t length)
{
  fixture_t *fixture = context;
  g_mutex_lock (&fixture->lock);
  g_free (fixture->hosts);
  fixture->hosts = g_strndup (text, length);
  g_mutex_unlock (&fixture->lock);
}

/* Calls a path of the platform. */
static jd_http_reply_t
call (fixture_t *fixture, const char *method, const char *path, const char *body)
{
  char *url = g_strconcat (fixture->url, path, NULL);
  jd_http_reply_t reply = jd_http_call (method, url, NULL, body, 3000);
  g_free (url);
  return reply;
}

/* Calls a path that changes something. */
static void
change (fixture_t *fixture, const char *method, const char *path, const char *body)
{
  jd_http_reply_t reply = call (fixture, method, path, body);
  CU_ASSERT_EQUAL (reply.status, 200);
  jd_http_reply_clear (&reply);
}

/* Returns a number of GET /calls. */
static json_int_t
calls (fixture_t *fixture, const char *name)
{
  jd_http_reply_t reply = call (fixture, NULL, "/calls", NULL);
  json_int_t value = json_integer_value (json_object_get (reply.json, name));
  jd_http_reply_clear (&reply);
  return value;
}

/* Waits up to a time until the client has handed over a fleet record that has the given
 * text. */
static gboolean
wait_for_fleet (fixture_t *fixture, const char *text, int timeout_ms)
{
  for (int waited_ms = 0; waited_ms <= timeout_ms; waited_ms += 10)
    {
      g_mutex_lock (&fixture->lock);
      gboolean seen = g_strcmp0 (fixture->fleet, text) == 0;
      g_mutex_unlock (&fixture->lock);
      if (seen)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

/* Starts a platform with a fleet record "v1" and a client. */
static void
fixture_start (fixture_t *fixture, gboolean watch)
{
  *fixture = (fixture_t){ .timers = jd_timer_queue_new () };
  g_mutex_init (&fixture->lock);
  jd_platform_options_t options = { .ip = "127.0.0.1",
                                    .max_reads_per_second = 2000,
                                    .timers = fixture->timers };
  fixture->platform = jd_platform_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture->platform);
  fixture->url =
      g_strdup_printf ("http://127.0.0.1:%u", jd_platform_port (fixture->platform));
  change (fixture, "PUT", "/v1/records/fleet", "v1");
  change (fixture, "PUT", "/v1/records/service.a%2Fb", "{}");
  jd_platform_client_options_t client = { .base_url = fixture->url,
                                          .watch = watch,
                                          .watch_wait_ms = 400,
                                          .clock = jd_clock_system (),
                                          .rng = jd_philox_rng (&fixture->random),
                                          .on_record = on_record,
                                          .on_hosts = on_hosts,
                                          .context = fixture };
  fixture->client = jd_platform_client_new (&client);
  CU_ASSERT_TRUE (wait_for_fleet (fixture, "v1", 3000));
}

/* Stops both. */
static void
fixture_stop (fixture_t *fixture)
{
  jd_platform_client_free (fixture->client);
  jd_platform_stop (fixture->platform);
  jd_timer_queue_free (fixture->timers);
  jd_platform_free (fixture->platform);
  g_free (fixture->fleet);
  g_free (fixture->hosts);
  g_free (fixture->url);
  g_mutex_clear (&fixture->lock);
}

/* Guards against a change that is seen late or by many calls: 1,100 changes a day must
 * be in force within 4 s, at 2,000 reads/s for the whole fleet. */
static void
one_watch_sees_every_change (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  change (&fixture, "PUT", "/v1/hosts", "{\"hosts\":[1]}");
  g_usleep (1200000);
  CU_ASSERT (calls (&fixture, "waiting") <= 1);
  CU_ASSERT (calls (&fixture, "rate_per_s") <= 8);
  g_mutex_lock (&fixture.lock);
  CU_ASSERT_STRING_EQUAL (fixture.hosts, "{\"hosts\":[1]}");
  CU_ASSERT_EQUAL (fixture.records, 3);
  g_mutex_unlock (&fixture.lock);
  fixture_stop (&fixture);
}

/* Guards against a flood of calls on a platform that is down, and against confirmations
 * that nothing confirmed. */
static void
outage_is_waited_out (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change (&fixture, "POST", "/faults", "{\"down\":\"refuse\"}");
  g_usleep (200000);
  int64_t confirmed_us = jd_platform_client_confirmed_us (fixture.client);
  json_int_t before = calls (&fixture, "total");
  change (&fixture, "PUT", "/v1/records/fleet", "v2");
  g_usleep (2500000);
  CU_ASSERT_EQUAL (jd_platform_client_confirmed_us (fixture.client), confirmed_us);
  json_int_t during = calls (&fixture, "total") - before;
  CU_ASSERT (during >= 1 && during <= 3);
  change (&fixture, "POST", "/faults", "{\"down\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 8000));
  g_usleep (50000);
  CU_ASSERT (jd_platform_client_confirmed_us (fixture.client) > confirmed_us);
  fixture_stop (&fixture);
}

/* Guards against a process that cannot stop while the platform does not answer. */
static void
hanging_platform_does_not_delay_a_stop (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change (&fixture, "POST", "/faults", "{\"down\":\"hang\"}");
  g_usleep (600000);
  int64_t begin_us = g_get_monotonic_time ();
  jd_platform_client_free (fixture.client);
  fixture.client = NULL;
  CU_ASSERT (g_get_monotonic_time () - begin_us < 300 * JD_US_PER_MS);
  fixture_stop (&fixture);
}

/* Guards against a client that stays behind after the platform served old versions. */
static void
stale_platform_is_overcome (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change (&fixture, "POST", "/faults", "{\"stale\":\"frozen\"}");
  change (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_FALSE (wait_for_fleet (&fixture, "v2", 700));
  change (&fixture, "POST", "/faults", "{\"stale\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  /* The older version is handed over too; refusing it is up to the receiver. */
  change (&fixture, "POST", "/faults", "{\"stale\":\"older\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v1", 1500));
  change (&fixture, "POST", "/faults", "{\"stale\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  fixture_stop (&fixture);
}

/* Guards against watches of processes that should get changes from their peers. */
static void
watch_begins_on_request (void)
{
  fixture_t fixture;
  fixture_start (&fixture, FALSE);
  g_usleep (200000);
  json_int_t before = calls (&fixture, "total");
  change (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_FALSE (wait_for_fleet (&fixture, "v2", 700));
  CU_ASSERT_EQUAL (calls (&fixture, "total"), before);
  jd_platform_client_set_watching (fixture.client, TRUE);
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 500));
  fixture_stop (&fixture);
}

/* Guards against a platform stand-in that bears any load. */
static void
reads_above_the_limit_are_refused (void)
{
  fixture_t fixture;
  fixture_start (&fixture, FALSE);
  change (&fixture, "POST", "/faults", "{\"max_reads_per_second\":6}");
  int refused = 0;
  for (int i = 0; i < 8; i++)
    {
      jd_http_reply_t reply = jd_http_get ("%s/v1/records/fleet", fixture.url);
      refused += reply.status == 429;
      jd_http_reply_clear (&reply);
    }
  CU_ASSERT (refused >= 2);
  CU_ASSERT_EQUAL (calls (&fixture, "refused"), refused);
  fixture_stop (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "one watch sees every change", one_watch_sees_every_change },
    { "outage is waited out", outage_is_waited_out },
    { "hanging platform does not delay a stop", hanging_platform_does_not_delay_a_stop },
    { "stale platform is overcome", stale_platform_is_overcome },
    { "watch begins on request", watch_begins_on_request },
    { "reads above the limit are refused", reads_above_the_limit_are_refused },
  };
  return JD_TEST_RUN ("platform_client", cases);
}
