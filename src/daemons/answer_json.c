#include "daemons/answer_json.h"

#include <jansson.h>

/* Returns a hit as a JSON object. A body that is not valid JSON becomes a string. */
static json_t *
hit_json (const jd_hit_t *hit)
{
  json_t *object = json_object ();
  json_object_set_new (object, "id", json_string (hit->id ? hit->id : ""));
  json_object_set_new (object, "score", json_real (hit->score));
  if (!hit->body)
    return object;
  json_t *body = json_loads (hit->body, JSON_DECODE_ANY, NULL);
  json_object_set_new (object, "body", body ? body : json_string (hit->body));
  return object;
}

/* Adds the members that only successful and partial answers have to the object. */
static void
add_results (json_t *object, const jd_caller_request_t *request,
             const jd_caller_answer_t *answer)
{
  json_object_set_new (object, "snapshot", json_integer ((json_int_t)answer->snapshot));
  if (request->kind != JD_WORK_SEARCH)
    {
      if (answer->hit_count > 0)
        json_object_set_new (object, "entry", hit_json (&answer->hits[0]));
      return;
    }
  json_object_set_new (object, "coverage", json_real (answer->coverage));
  json_t *hits = json_array ();
  for (uint32_t i = 0; i < answer->hit_count; i++)
    json_array_append_new (hits, hit_json (&answer->hits[i]));
  json_object_set_new (object, "hits", hits);
}

/* Returns the JSON text of an answer; free it with g_free. detail, or NULL, is placed
 * before the advice in the message of an answer without results. */
char *
jd_answer_json (const jd_caller_request_t *request, const jd_caller_answer_t *answer,
                const char *detail)
{
  const jd_result_info_t *info = jd_result_info (answer->code);
  char id[17];
  g_snprintf (id, sizeof (id), "%016" G_GINT64_MODIFIER "x", (guint64)request->id);
  json_t *object = json_object ();
  json_object_set_new (object, "code", json_integer (answer->code));
  json_object_set_new (object, "name", json_string (info->name));
  json_object_set_new (object, "request_id", json_string (id));
  json_object_set_new (object, "ran", json_string (jd_ran_name (answer->ran)));
  if (answer->code == JD_OK || answer->code == JD_PARTIAL)
    add_results (object, request, answer);
  else
    {
      char *message = detail ? g_strdup_printf ("%s %s", detail, info->advice)
                             : g_strdup (info->advice);
      json_object_set_new (object, "message", json_string (message));
      g_free (message);
    }
  char *encoded = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  char *text = g_strdup (encoded ? encoded : "{}");
  free (encoded);
  return text;
}
