#pragma once

/* Checks an invariant that docs/proof.md lists; enabled in release builds too. The rule
 * is the unquoted name of the invariant, for example rate_limit. */
#define JD_INVARIANT(rule, condition)                                                    \
  do                                                                                     \
    {                                                                                    \
      if (!(condition))                                                                  \
        jd_invariant_failed (#rule, #condition, __FILE__, __LINE__);                     \
    }                                                                                    \
  while (0)

typedef void (*jd_invariant_handler_t) (void *context, const char *rule,
                                        const char *condition, const char *file,
                                        int line);

void jd_invariant_set_handler (jd_invariant_handler_t handler, void *context);
void jd_invariant_failed (const char *rule, const char *condition, const char *file,
                          int line);
