#include "routing/top_records.h"

#include <stdlib.h>
#include <string.h>

struct jd_top_records
{
  uint32_t limit;
  uint32_t count;
  uint8_t (*heap)[JD_RECORD_BYTES]; /* The smallest kept record is at 0. */
};

/* Creates an empty set that keeps up to limit records. */
jd_top_records_t *
jd_top_records_new (uint32_t limit)
{
  jd_top_records_t *top = g_new0 (jd_top_records_t, 1);
  top->limit = limit;
  top->heap = g_malloc0 ((size_t)MAX (limit, 1) * JD_RECORD_BYTES);
  return top;
}

/* Frees a set, which may be NULL. */
void
jd_top_records_free (jd_top_records_t *top)
{
  if (!top)
    return;
  g_free (top->heap);
  g_free (top);
}

/* Returns TRUE if left is smaller than right. */
static gboolean
is_less (const uint8_t *left, const uint8_t *right)
{
  return memcmp (left, right, JD_RECORD_BYTES) < 0;
}

/* Restores the heap order after the record at an index was added. */
static void
sift_up (jd_top_records_t *top, uint32_t index)
{
  uint8_t moved[JD_RECORD_BYTES];
  memcpy (moved, top->heap[index], JD_RECORD_BYTES);
  while (index > 0 && is_less (moved, top->heap[(index - 1) / 2]))
    {
      memcpy (top->heap[index], top->heap[(index - 1) / 2], JD_RECORD_BYTES);
      index = (index - 1) / 2;
    }
  memcpy (top->heap[index], moved, JD_RECORD_BYTES);
}

/* Restores the heap order after the record at the root was replaced. */
static void
sift_down (jd_top_records_t *top)
{
  uint8_t moved[JD_RECORD_BYTES];
  memcpy (moved, top->heap[0], JD_RECORD_BYTES);
  uint32_t index = 0;
  for (;;)
    {
      uint32_t child = 2 * index + 1;
      if (child >= top->count)
        break;
      if (child + 1 < top->count && is_less (top->heap[child + 1], top->heap[child]))
        child++;
      if (!is_less (top->heap[child], moved))
        break;
      memcpy (top->heap[index], top->heap[child], JD_RECORD_BYTES);
      index = child;
    }
  memcpy (top->heap[index], moved, JD_RECORD_BYTES);
}

/* Adds the records of a part. A remainder shorter than a record is ignored. */
void
jd_top_records_add (jd_top_records_t *top, const char *part, size_t part_bytes)
{
  const uint8_t *record = (const uint8_t *)part;
  for (size_t left = part_bytes; left >= JD_RECORD_BYTES;
       left -= JD_RECORD_BYTES, record += JD_RECORD_BYTES)
    {
      if (top->count < top->limit)
        {
          memcpy (top->heap[top->count++], record, JD_RECORD_BYTES);
          sift_up (top, top->count - 1);
        }
      else if (top->limit > 0 && is_less (top->heap[0], record))
        {
          memcpy (top->heap[0], record, JD_RECORD_BYTES);
          sift_down (top);
        }
    }
}

/* Sort callback: orders records from greatest to smallest. */
static int
compare_descending (const void *left, const void *right)
{
  return memcmp (right, left, JD_RECORD_BYTES);
}

/* Appends the kept records to body, greatest first. No records may be added afterwards.
 */
void
jd_top_records_render (jd_top_records_t *top, GString *body)
{
  qsort (top->heap, top->count, JD_RECORD_BYTES, compare_descending);
  g_string_append_len (body, (const char *)top->heap,
                       (gssize)top->count * JD_RECORD_BYTES);
}
