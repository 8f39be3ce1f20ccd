#pragma once

#include <glib.h>
#include <jansson.h>

/* A file of JSON lines to which several threads append. */
typedef struct load_history load_history_t;

load_history_t *load_history_open (const char *path, GError **error);
void load_history_add (load_history_t *history, json_t *object);
void load_history_close (load_history_t *history);
