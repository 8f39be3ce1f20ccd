#include "transport/platform_client.h"

#include <string.h>

#include "stand_ins/platform_server.h"
#include "support/http_call.h"
#include "support/test_main.h"

/* A platform stand-in in this process and the texts that a client reported. */
typedef struct fixture
{
  jd_timer_queue_t *timers;
  jd_platform_t *platform;
  jd_platform_client_t *client;
  char *url;
  jd_philox_t philox;
  GMutex lock; /* Guards the members below. */
  char *fleet_text;
  char *hosts_text;
  uint32_t record_count;
} fixture_t;

static void
on_record (void *context, const char *name, const char *text, size_t length)
{
  fixture_t *fixture = context;
  g_mutex_lock (&fixture->lock);
  fixture->record_count++;
  if (strcmp (name, "fleet") == 0)
    {
      g_free (fixture->fleet_text);
      fixture->fleet_text = g_strndup (text, length);
    }
  g_mutex_unlock (&fixture->lock);
}

static void
on_hosts (void *context, const char *text, size_t length)
{
  fixture_t *fixture = context;
  g_mutex_lock (&fixture->lock);
  g_free (fixture->hosts_text);
  fixture->hosts_text = g_strndup (text, length);
  g_mutex_unlock (&fixture->lock);
}

/* Sends a request to the platform; clear the reply with jd_http_reply_clear. */
static jd_http_reply_t
call_platform (fixture_t *fixture, const char *method, const char *path, const char *body)
{
  char *url = g_strconcat (fixture->url, path, NULL);
  jd_http_reply_t reply = jd_http_call (method, url, NULL, body, 3000);
  g_free (url);
  return reply;
}

/* Sends a request that changes a record, the hosts or a fault; expects status 200. */
static void
change_platform (fixture_t *fixture, const char *method, const char *path,
                 const char *body)
{
  jd_http_reply_t reply = call_platform (fixture, method, path, body);
  CU_ASSERT_EQUAL (reply.status, 200);
  jd_http_reply_clear (&reply);
}

/* Returns the value of a counter in the reply to GET /calls. */
static json_int_t
call_counter (fixture_t *fixture, const char *name)
{
  jd_http_reply_t reply = call_platform (fixture, NULL, "/calls", NULL);
  json_int_t value = json_integer_value (json_object_get (reply.json, name));
  jd_http_reply_clear (&reply);
  return value;
}

/* Waits until the text of the last fleet record from the client equals text; returns
 * FALSE after timeout_ms. */
static gboolean
wait_for_fleet (fixture_t *fixture, const char *text, int timeout_ms)
{
  for (int waited_ms = 0; waited_ms <= timeout_ms; waited_ms += 10)
    {
      g_mutex_lock (&fixture->lock);
      gboolean is_equal = g_strcmp0 (fixture->fleet_text, text) == 0;
      g_mutex_unlock (&fixture->lock);
      if (is_equal)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

/* Starts a platform with two records and a client; waits for the fleet record "v1". */
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
  change_platform (fixture, "PUT", "/v1/records/fleet", "v1");
  change_platform (fixture, "PUT", "/v1/records/service.a%2Fb", "{}");
  jd_platform_client_options_t client = { .base_url = fixture->url,
                                          .watch = watch,
                                          .watch_wait_ms = 400,
                                          .clock = jd_clock_system (),
                                          .rng = jd_philox_rng (&fixture->philox),
                                          .on_record = on_record,
                                          .on_hosts = on_hosts,
                                          .context = fixture };
  fixture->client = jd_platform_client_new (&client);
  CU_ASSERT_TRUE (wait_for_fleet (fixture, "v1", 3000));
}

static void
fixture_stop (fixture_t *fixture)
{
  jd_platform_client_free (fixture->client);
  jd_platform_stop (fixture->platform);
  jd_timer_queue_free (fixture->timers);
  jd_platform_free (fixture->platform);
  g_free (fixture->fleet_text);
  g_free (fixture->hosts_text);
  g_free (fixture->url);
  g_mutex_clear (&fixture->lock);
}

/* Guards against changes that arrive late or need many requests: each of 1,100 changes a
 * day must be received within 4 s, with at most 2,000 reads/s of the whole fleet. */
static void
one_watch_reports_every_change (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change_platform (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  change_platform (&fixture, "PUT", "/v1/hosts", "{\"hosts\":[1]}");
  g_usleep (1200000);
  CU_ASSERT (call_counter (&fixture, "waiting") <= 1);
  CU_ASSERT (call_counter (&fixture, "rate_per_s") <= 8);
  g_mutex_lock (&fixture.lock);
  CU_ASSERT_STRING_EQUAL (fixture.hosts_text, "{\"hosts\":[1]}");
  CU_ASSERT_EQUAL (fixture.record_count, 3);
  g_mutex_unlock (&fixture.lock);
  fixture_stop (&fixture);
}

/* Guards against too many requests to a platform that is down, and against a
 * confirmation time that advances without a successful read. */
static void
client_backs_off_during_an_outage (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change_platform (&fixture, "POST", "/faults", "{\"down\":\"refuse\"}");
  g_usleep (200000);
  int64_t confirmed_us = jd_platform_client_confirmed_us (fixture.client);
  json_int_t calls_before = call_counter (&fixture, "total");
  change_platform (&fixture, "PUT", "/v1/records/fleet", "v2");
  g_usleep (2500000);
  CU_ASSERT_EQUAL (jd_platform_client_confirmed_us (fixture.client), confirmed_us);
  json_int_t calls_during = call_counter (&fixture, "total") - calls_before;
  CU_ASSERT (calls_during >= 1 && calls_during <= 3);
  change_platform (&fixture, "POST", "/faults", "{\"down\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 8000));
  g_usleep (50000);
  CU_ASSERT (jd_platform_client_confirmed_us (fixture.client) > confirmed_us);
  fixture_stop (&fixture);
}

/* Guards against a process that cannot stop while the platform does not reply. */
static void
hanging_platform_does_not_delay_a_stop (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change_platform (&fixture, "POST", "/faults", "{\"down\":\"hang\"}");
  g_usleep (600000);
  int64_t stop_began_us = g_get_monotonic_time ();
  jd_platform_client_free (fixture.client);
  fixture.client = NULL;
  CU_ASSERT (g_get_monotonic_time () - stop_began_us < 300 * JD_US_PER_MS);
  fixture_stop (&fixture);
}

/* Guards against a client that keeps old versions after the platform has served them. */
static void
client_recovers_from_a_stale_platform (void)
{
  fixture_t fixture;
  fixture_start (&fixture, TRUE);
  change_platform (&fixture, "POST", "/faults", "{\"stale\":\"frozen\"}");
  change_platform (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_FALSE (wait_for_fleet (&fixture, "v2", 700));
  change_platform (&fixture, "POST", "/faults", "{\"stale\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  /* The client passes on the older version, too; the receiver has to reject it. */
  change_platform (&fixture, "POST", "/faults", "{\"stale\":\"older\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v1", 1500));
  change_platform (&fixture, "POST", "/faults", "{\"stale\":\"\"}");
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 1500));
  fixture_stop (&fixture);
}

/* Guards against a client that watches although watching is off: a process that gets
 * changes from its peers must not read them from the platform, too. */
static void
watch_starts_on_request (void)
{
  fixture_t fixture;
  fixture_start (&fixture, FALSE);
  g_usleep (200000);
  json_int_t calls_before = call_counter (&fixture, "total");
  change_platform (&fixture, "PUT", "/v1/records/fleet", "v2");
  CU_ASSERT_FALSE (wait_for_fleet (&fixture, "v2", 700));
  CU_ASSERT_EQUAL (call_counter (&fixture, "total"), calls_before);
  jd_platform_client_set_watching (fixture.client, TRUE);
  CU_ASSERT_TRUE (wait_for_fleet (&fixture, "v2", 500));
  fixture_stop (&fixture);
}

/* Guards against a platform stand-in that accepts any load, which would hide clients that
 * read too often. */
static void
reads_above_the_limit_are_refused (void)
{
  fixture_t fixture;
  fixture_start (&fixture, FALSE);
  change_platform (&fixture, "POST", "/faults", "{\"max_reads_per_second\":6}");
  int refused_count = 0;
  for (int i = 0; i < 8; i++)
    {
      jd_http_reply_t reply = jd_http_get ("%s/v1/records/fleet", fixture.url);
      refused_count += reply.status == 429;
      jd_http_reply_clear (&reply);
    }
  CU_ASSERT (refused_count >= 2);
  CU_ASSERT_EQUAL (call_counter (&fixture, "refused"), refused_count);
  fixture_stop (&fixture);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "one watch reports every change", one_watch_reports_every_change },
    { "client backs off during an outage", client_backs_off_during_an_outage },
    { "hanging platform does not delay a stop", hanging_platform_does_not_delay_a_stop },
    { "client recovers from a stale platform", client_recovers_from_a_stale_platform },
    { "watch starts on request", watch_starts_on_request },
    { "reads above the limit are refused", reads_above_the_limit_are_refused },
  };
  return JD_TEST_RUN ("platform_client", cases);
}
