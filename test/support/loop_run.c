#include "support/loop_run.h"

static void
stop_loop (struct ev_loop *loop, ev_timer *timer, int events)
{
  ev_break (loop, EVBREAK_ONE);
}

/* Runs an event loop for some seconds. */
void
jd_test_run_loop (struct ev_loop *loop, double seconds)
{
  ev_timer timer;
  ev_now_update (loop);
  ev_timer_init (&timer, stop_loop, seconds, 0.0);
  ev_timer_start (loop, &timer);
  ev_run (loop, 0);
  ev_timer_stop (loop, &timer);
}
