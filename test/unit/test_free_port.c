#include "support/free_port.h"

#include <glib.h>

#include "support/test_main.h"

/* First port of the default range of outgoing connections (ip_local_port_range). */
#define FIRST_OUTGOING_PORT 32768

/* Guards against a tested program that cannot listen on its port because an outgoing
 * connection uses it: with five soaks running, 4 of 6,000 free ports from the range of
 * outgoing connections are in use within half a second. */
static void
free_ports_are_distinct_and_below_outgoing_range (void)
{
  uint16_t ports[200];
  for (size_t i = 0; i < G_N_ELEMENTS (ports); i++)
    {
      ports[i] = jd_test_free_port ();
      CU_ASSERT_TRUE (ports[i] < FIRST_OUTGOING_PORT);
      for (size_t k = 0; k < i; k++)
        CU_ASSERT_NOT_EQUAL (ports[k], ports[i]);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "free ports are distinct and below the range of outgoing connections",
      free_ports_are_distinct_and_below_outgoing_range },
  };
  return JD_TEST_RUN ("free_port", cases);
}
