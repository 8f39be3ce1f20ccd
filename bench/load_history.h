#pragma once

#include <glib.h>
#include <jansson.h>

/* A file of JSON lines that several threads append to. */
typedef struct load_history load_history_t;

/* Opens a file for writing; path NULL gives NULL, which all functions accept. */
load_history_t *load_history_open (const char *path, GError **error);
/* Appends one line and frees the object. */
void load_history_add (load_history_t *history, json_t *object);
void load_history_close (load_history_t *history);
