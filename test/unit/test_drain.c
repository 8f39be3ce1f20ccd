#include "membership/drain.h"

#include <string.h>

#include "support/test_main.h"

#define HEAD "{\"schema_version\":1,\"record_version\":1,"
#define S INT64_C (1000000)

/* Guards against work for a zone that is out, and against its full load at once when it
 * returns. */
static void
returning_zone_ramps_up (void)
{
  const char *text = HEAD "\"zones\":[{\"name\":\"b\",\"state\":\"out\"}]}";
  jd_zone_state_record_t *record =
      jd_zone_state_record_parse ("zones", text, strlen (text), NULL);
  jd_drain_t *drain = jd_drain_new ("b", JD_ZONE_RAMP_US);
  CU_ASSERT_EQUAL (jd_drain_zone_part (drain, "b", 0), 1);
  jd_drain_set_zones (drain, record, 1 * S);
  CU_ASSERT (!jd_drain_zone_allows (drain, "b", 0, 1 * S));
  CU_ASSERT (jd_drain_zone_allows (drain, "a", 0.99, 1 * S));
  CU_ASSERT (jd_drain_own_zone_is_out (drain));
  jd_drain_set_zones (drain, record, 2 * S);
  jd_drain_set_zones (drain, NULL, 10 * S);
  jd_drain_set_zones (drain, NULL, 11 * S);
  CU_ASSERT (!jd_drain_own_zone_is_out (drain));
  CU_ASSERT_DOUBLE_EQUAL (jd_drain_zone_part (drain, "b", 10 * S), 0.05, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (jd_drain_zone_part (drain, "b", 15 * S), 0.5, 1e-9);
  CU_ASSERT_EQUAL (jd_drain_zone_part (drain, "b", 20 * S), 1);
  jd_zone_state_record_unref (record);
  jd_drain_free (drain);
}

/* Guards against new work for a leaving target that only one of the sources knows. */
static void
each_source_drains (void)
{
  const char *text = HEAD "\"seats\":[{\"name\":\"x\",\"state\":\"draining\"}],"
                          "\"targets\":[{\"id\":\"t0\",\"state\":\"leaving\"}]}";
  const char *const listed[] = { "127.0.0.1:9", "y", NULL };
  jd_host_state_record_t *record =
      jd_host_state_record_parse ("hosts", text, strlen (text), NULL);
  jd_drain_t *drain = jd_drain_new ("a", JD_ZONE_RAMP_US);
  jd_drain_set_hosts (drain, record);
  jd_drain_set_listed (drain, listed);
  jd_drain_set_reported (drain, "t1", TRUE);
  CU_ASSERT (!jd_drain_target_allows (drain, "t0", "127.0.0.1:1"));
  CU_ASSERT (!jd_drain_target_allows (drain, "t1", "127.0.0.1:2"));
  CU_ASSERT (!jd_drain_target_allows (drain, "t2", "127.0.0.1:9"));
  CU_ASSERT (jd_drain_target_allows (drain, "t3", "127.0.0.1:3"));
  CU_ASSERT (jd_drain_seat_is_draining (drain, "x"));
  CU_ASSERT (jd_drain_seat_is_draining (drain, "y"));
  CU_ASSERT (!jd_drain_seat_is_draining (drain, "z"));
  jd_drain_set_reported (drain, "t1", FALSE);
  jd_drain_set_hosts (drain, NULL);
  CU_ASSERT (jd_drain_target_allows (drain, "t0", "127.0.0.1:1"));
  CU_ASSERT (jd_drain_target_allows (drain, "t1", "127.0.0.1:2"));
  jd_host_state_record_unref (record);
  jd_drain_free (drain);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "returning zone ramps up", returning_zone_ramps_up },
    { "each source drains", each_source_drains },
  };
  return JD_TEST_RUN ("drain", cases);
}
