#pragma once

#include <CUnit/Basic.h>
#include <stdint.h>
#include <stdlib.h>

typedef struct jd_test_case
{
  const char *name;
  void (*run) (void);
} jd_test_case_t;

/* Runs the cases as one CUnit suite; returns the exit status of the program. */
int jd_test_run (const char *suite, const jd_test_case_t *cases, uint32_t count);

#define JD_TEST_RUN(suite, cases)                                                        \
  jd_test_run (suite, cases, sizeof (cases) / sizeof ((cases)[0]))
