#pragma once

#include <stdbool.h>
#include <stdint.h>

/* The network path of a request from its caller to this host. */
typedef struct jd_caller_path
{
  int64_t round_trip_us; /* 0: unknown. */
  bool is_new;           /* The caller opened the connection for this request. */
} jd_caller_path_t;

int64_t jd_answer_margin_us (const jd_caller_path_t *path);
