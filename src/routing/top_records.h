#pragma once

#include <glib.h>
#include <stdint.h>

#define JD_RECORD_BYTES 16

/* Collects the greatest records of the parts of an answer. Records are compared byte by
 * byte; equal records are all kept. */
typedef struct jd_top_records jd_top_records_t;

jd_top_records_t *jd_top_records_new (uint32_t limit);
void jd_top_records_free (jd_top_records_t *top);
void jd_top_records_add (jd_top_records_t *top, const char *part, size_t part_bytes);
void jd_top_records_render (jd_top_records_t *top, GString *body);
