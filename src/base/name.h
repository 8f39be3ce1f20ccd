#pragma once

/* Bytes for the longest name of a member, target, organisation or service, including the
 * terminating NUL. */
#define JD_NAME_SIZE 64

typedef char jd_name_t[JD_NAME_SIZE];
