#include "support/free_port.h"

#include <glib.h>

#include "support/test_main.h"

/* First port that the system gives to outgoing connections by default. */
#define OUTGOING_FIRST 32768

/* Guards against tested programs that cannot listen because an outgoing connection took
 * their port meanwhile. With five soaks running, 4 of 6,000 ports of the former way were
 * taken within half a second. */
static void
ports_are_distinct_and_not_for_outgoing_connections (void)
{
  uint16_t ports[200];
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    {
      ports[i] = jd_test_free_port ();
      CU_ASSERT_TRUE (ports[i] < OUTGOING_FIRST);
      for (size_t k = 0; k < i; k++)
        CU_ASSERT_NOT_EQUAL (ports[k], ports[i]);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "ports of tests", ports_are_distinct_and_not_for_outgoing_connections },
  };
  return JD_TEST_RUN ("free_port", cases);
}
