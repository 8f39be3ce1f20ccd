#pragma once

#include <ev.h>

void jd_test_run_loop (struct ev_loop *loop, double seconds);
