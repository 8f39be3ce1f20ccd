#pragma once

/* Longest name of a seat, target, organisation or service, with the final zero. */
#define JD_NAME_SIZE 64

typedef char jd_name_t[JD_NAME_SIZE];
