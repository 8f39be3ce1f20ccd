#pragma once

#include <jansson.h>

/* Prints an object as one line of JSON and releases the reference to it. */
void cli_print_json (json_t *object);
/* Prints "jackdawctl: ", the message and a newline to standard error. */
void cli_print_error (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
