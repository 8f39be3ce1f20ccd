#include "routing/answer_match.h"

#include <string.h>

#include "base/invariant.h"

/* Initializes the state of a request that no connection has carried. The id is copied;
 * free it with jd_answer_match_clear (). */
void
jd_answer_match_init (jd_answer_match_t *match, const char *request_id)
{
  *match = (jd_answer_match_t){
    .request_id = g_strdup (request_id),
    .connections = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };
}

/* Frees the memory of the state. */
void
jd_answer_match_clear (jd_answer_match_t *match)
{
  g_free (match->request_id);
  g_array_free (match->connections, TRUE);
}

/* Returns TRUE if an attempt of the request may be sent on a connection: it has carried
 * none so far. Serial numbers of connections are not reused. */
bool
jd_answer_match_may_use (const jd_answer_match_t *match, uint64_t connection)
{
  for (guint i = 0; i < match->connections->len; i++)
    {
      if (g_array_index (match->connections, uint64_t, i) == connection)
        return false;
    }
  return true;
}

/* Records that an attempt of the request is sent on a connection. */
void
jd_answer_match_use (jd_answer_match_t *match, uint64_t connection)
{
  JD_INVARIANT (one_attempt_per_connection, jd_answer_match_may_use (match, connection));
  g_array_append_val (match->connections, connection);
}

/* Returns whose answer it is by the id that it carries; NULL if it carries none. */
jd_answer_owner_t
jd_answer_match_owner (const jd_answer_match_t *match, const char *answer_id)
{
  if (!answer_id)
    return JD_ANSWER_UNKNOWN;
  return strcmp (answer_id, match->request_id) == 0 ? JD_ANSWER_OWN : JD_ANSWER_OTHER;
}
