#include "transport/target_body.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>

/* Returns a JSON value as compact text; free with g_free. */
static char *
json_to_text (const json_t *value)
{
  char *text =
      json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY | JSON_REAL_PRECISION (17));
  char *copy = g_strdup (text);
  free (text);
  return copy;
}

/* Reads one element of "hits"; "body" is optional. Returns FALSE if the element is
 * malformed. */
static gboolean
read_hit (const json_t *object, jd_hit_t *hit)
{
  const char *id = json_string_value (json_object_get (object, "id"));
  const json_t *score = json_object_get (object, "score");
  const json_t *body = json_object_get (object, "body");
  if (!id || !json_is_number (score) || !isfinite (json_number_value (score)))
    return FALSE;
  *hit = (jd_hit_t){ .id = g_strdup (id),
                     .score = json_number_value (score),
                     .body = body ? json_to_text (body) : NULL };
  return TRUE;
}

/* Sorts hits by descending score and equal scores by id, so that the order is the same on
 * all hosts. */
static int
compare_hits (const void *a, const void *b)
{
  const jd_hit_t *first = a;
  const jd_hit_t *second = b;
  if (first->score != second->score)
    return first->score > second->score ? -1 : 1;
  return g_strcmp0 (first->id, second->id);
}

/* Reads and sorts the hits of a search. On failure the reply keeps the hits that were
 * read. */
static gboolean
read_search (const json_t *root, jd_target_reply_t *reply)
{
  json_t *array = json_object_get (root, "hits");
  if (!json_is_array (array))
    return FALSE;
  size_t count = json_array_size (array);
  reply->hits = count > 0 ? g_new0 (jd_hit_t, count) : NULL;
  for (size_t i = 0; i < count; i++)
    {
      if (!read_hit (json_array_get (array, i), &reply->hits[i]))
        return FALSE;
      reply->hit_count++;
    }
  if (count > 1)
    qsort (reply->hits, count, sizeof (*reply->hits), compare_hits);
  return TRUE;
}

/* Reads the entry of a fetch or the confirmation of an edit as a single hit. */
static gboolean
read_entry (jd_work_kind_t kind, const json_t *root, jd_target_reply_t *reply)
{
  const char *id = json_string_value (json_object_get (root, "id"));
  const json_t *body = json_object_get (root, "body");
  if (!id || (kind == JD_WORK_FETCH && !body))
    return FALSE;
  reply->hits = g_new0 (jd_hit_t, 1);
  reply->hit_count = 1;
  reply->hits[0].id = g_strdup (id);
  reply->hits[0].body = json_to_text (kind == JD_WORK_FETCH ? body : root);
  return TRUE;
}

/* Parses the hits of a reply. On failure frees the hits read before the error. */
gboolean
jd_target_body_parse_hits (jd_work_kind_t kind, const char *text, size_t length_bytes,
                           jd_target_reply_t *reply)
{
  json_t *root = json_loadb (text, length_bytes, 0, NULL);
  gboolean is_valid = root && (kind == JD_WORK_SEARCH ? read_search (root, reply)
                                                      : read_entry (kind, root, reply));
  json_decref (root);
  if (is_valid)
    return TRUE;
  jd_work_outcome_t cleared_outcome = { .hit_count = reply->hit_count,
                                        .hits = reply->hits };
  jd_work_outcome_clear (&cleared_outcome);
  reply->hit_count = 0;
  reply->hits = NULL;
  return FALSE;
}

/* Parses the reply to a health probe. Snapshots beyond the size of health->snapshots are
 * checked but not stored. */
gboolean
jd_target_body_parse_health (const char *text, size_t length_bytes,
                             jd_target_health_t *health)
{
  *health = (jd_target_health_t){ 0 };
  json_t *root = json_loadb (text, length_bytes, 0, NULL);
  json_t *snapshots = json_object_get (root, "snapshots");
  gboolean is_valid = json_is_array (snapshots);
  for (size_t i = 0; is_valid && i < json_array_size (snapshots); i++)
    {
      json_int_t snapshot = json_integer_value (json_array_get (snapshots, i));
      is_valid = snapshot > 0;
      if (is_valid && health->snapshot_count < G_N_ELEMENTS (health->snapshots))
        health->snapshots[health->snapshot_count++] = (uint64_t)snapshot;
    }
  health->cold = json_is_true (json_object_get (root, "cold"));
  health->draining = json_is_true (json_object_get (root, "draining"));
  json_decref (root);
  return is_valid;
}

/* Returns TRUE if the reply to a cancellation contains "cancelled": true. The value false
 * does not prove that the request will not run: it may still be unread in the socket of
 * its own connection. */
gboolean
jd_target_body_parse_cancelled (const char *text, size_t length_bytes)
{
  json_t *root = json_loadb (text, length_bytes, 0, NULL);
  gboolean cancelled = json_is_true (json_object_get (root, "cancelled"));
  json_decref (root);
  return cancelled;
}
