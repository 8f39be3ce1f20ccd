#include "routing/broker_queue.h"

#include "base/rng.h"
#include "support/test_main.h"

#define MAX_LENGTH 16

typedef struct item
{
  int64_t deadline_us;
  uint32_t order;
} item_t;

/* Guards against a wrong order and an unbounded queue: after random pushes and removals,
 * the first item has the nearest deadline and, among equal deadlines, came first. */
static void
items_are_served_by_deadline_then_arrival (void)
{
  jd_philox_t state = { .seed = 2 };
  jd_rng_t rng = jd_philox_rng (&state);
  jd_broker_queue_t *queue = jd_broker_queue_new (MAX_LENGTH);
  static item_t items[4000];
  for (uint32_t i = 0; i < G_N_ELEMENTS (items); i++)
    {
      items[i] = (item_t){ (int64_t)jd_rng_below (&rng, 20), i };
      uint32_t length_before = jd_broker_queue_length (queue);
      gboolean pushed = jd_broker_queue_push (queue, items[i].deadline_us, &items[i]);
      CU_ASSERT_EQUAL (pushed, length_before < MAX_LENGTH);
      uint64_t age = jd_rng_below (&rng, 5);
      if (age <= i && jd_rng_below (&rng, 3) == 0)
        jd_broker_queue_remove (queue, &items[i - age]);
      item_t *first = jd_broker_queue_peek (queue, NULL);
      if (!first || jd_rng_below (&rng, 2))
        continue;
      CU_ASSERT_EQUAL (jd_broker_queue_ahead (queue, first->deadline_us - 1), 0);
      CU_ASSERT_TRUE (jd_broker_queue_remove (queue, first));
      item_t *next = jd_broker_queue_peek (queue, NULL);
      if (next)
        CU_ASSERT (
            first->deadline_us < next->deadline_us ||
            (first->deadline_us == next->deadline_us && first->order < next->order));
    }
  jd_broker_queue_free (queue);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "items are served by deadline, then by arrival",
      items_are_served_by_deadline_then_arrival },
  };
  return JD_TEST_RUN ("broker_queue", cases);
}
