#pragma once

#include <jansson.h>

/* Prints an object as one JSON line and frees it. */
void cli_print_json (json_t *object);
/* Prints "jackdawctl: " and a message to standard error. */
void cli_print_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
