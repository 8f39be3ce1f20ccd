#pragma once

#include "daemons/caller_request.h"

char *jd_answer_json (const jd_caller_request_t *request,
                      const jd_caller_answer_t *answer, const char *detail);
