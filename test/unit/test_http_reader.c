#include "transport/http_reader.h"

#include <string.h>

#include "base/rng.h"
#include "support/damage.h"
#include "support/test_main.h"

#define HEAD_LIMIT 4096
#define BODY_LIMIT 4096

static const char request_text[] =
    "POST /a%2Fb%00c?x=%20&y HTTP/1.1\r\nHost: Shop.example\r\nX-Odd-CASE:  a  b \r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nNEXT";

/* Feeds a text in pieces of a size; returns the progress and the number of used bytes. */
static jd_http_progress_t
feed (jd_http_reader_t *reader, const char *text, size_t size, size_t piece,
      size_t *total)
{
  *total = 0;
  jd_http_progress_t progress = JD_HTTP_MORE;
  while (*total < size && progress == JD_HTTP_MORE)
    {
      size_t used = 0;
      progress =
          jd_http_reader_feed (reader, text + *total, MIN (piece, size - *total), &used);
      *total += used;
    }
  return progress;
}

/* Guards against a request target, header or body that changes on its way, whatever the
 * pieces in which it arrives, and against bytes of the next request in this one. */
static void
bytes_are_kept_in_any_pieces (void)
{
  for (size_t piece = 1; piece <= sizeof (request_text); piece++)
    {
      jd_http_reader_t reader;
      size_t used = 0;
      jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT, BODY_LIMIT);
      CU_ASSERT_EQUAL (feed (&reader, request_text, strlen (request_text), piece, &used),
                       JD_HTTP_COMPLETE);
      CU_ASSERT_EQUAL (used, strlen (request_text) - strlen ("NEXT"));
      CU_ASSERT_NSTRING_EQUAL (reader.text->str, "/a%2Fb%00c?x=%20&y", reader.target_len);
      CU_ASSERT_STRING_EQUAL (jd_http_reader_value (&reader, "host"), "Shop.example");
      CU_ASSERT_STRING_EQUAL (reader.body->str, "hello world");
      CU_ASSERT_TRUE (reader.keep_alive);
      jd_http_reader_clear (&reader);
    }
}

/* Guards against requests smuggled by two lengths, and against heads and bodies beyond
 * the limits. */
static void
bad_messages_are_refused (void)
{
  static const struct
  {
    const char *text;
    jd_http_progress_t expected;
  } cases[] = {
    { "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
      JD_HTTP_MALFORMED },
    { "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      JD_HTTP_MALFORMED },
    { "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", JD_HTTP_MALFORMED },
    { "\x01\x02\x03\r\n\r\n", JD_HTTP_MALFORMED },
    { "GET / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", JD_HTTP_BODY_TOO_LARGE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      jd_http_reader_t reader;
      size_t used = 0;
      jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT, BODY_LIMIT);
      CU_ASSERT_EQUAL (feed (&reader, cases[i].text, strlen (cases[i].text), 7, &used),
                       cases[i].expected);
      jd_http_reader_clear (&reader);
    }
  GString *large = g_string_new ("GET / HTTP/1.1\r\nX: ");
  for (int i = 0; i < 70000; i++)
    g_string_append_c (large, 'a');
  jd_http_reader_t reader;
  size_t used = 0;
  jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT, BODY_LIMIT);
  CU_ASSERT_EQUAL (feed (&reader, large->str, large->len, 1000, &used),
                   JD_HTTP_HEAD_TOO_LARGE);
  jd_http_reader_clear (&reader);
  g_string_free (large, TRUE);
}

/* Guards against an answer without a length that is taken as whole before its connection
 * has ended, and against a short one that is. */
static void
end_of_connection_ends_only_unframed_answers (void)
{
  static const char unframed[] = "HTTP/1.1 200 OK\r\n\r\npart";
  static const char framed[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  jd_http_reader_t reader;
  size_t used = 0;
  jd_http_reader_init (&reader, HTTP_RESPONSE, HEAD_LIMIT, BODY_LIMIT);
  CU_ASSERT_EQUAL (feed (&reader, unframed, strlen (unframed), 100, &used), JD_HTTP_MORE);
  CU_ASSERT_EQUAL (jd_http_reader_end (&reader), JD_HTTP_COMPLETE);
  CU_ASSERT_STRING_EQUAL (reader.body->str, "part");
  CU_ASSERT_FALSE (reader.keep_alive);
  jd_http_reader_restart (&reader);
  CU_ASSERT_EQUAL (feed (&reader, framed, strlen (framed), 100, &used), JD_HTTP_MORE);
  CU_ASSERT_EQUAL (jd_http_reader_end (&reader), JD_HTTP_MALFORMED);
  jd_http_reader_clear (&reader);
}

/* Guards against crashes and endless loops on damaged bytes: mutated requests end in some
 * state, and those that are complete have a target within their text. */
static void
damaged_bytes_are_survived (void)
{
  jd_philox_t state = { .seed = 11 };
  jd_rng_t rng = jd_philox_rng (&state);
  uint64_t rounds = jd_damage_rounds (20000);
  char text[sizeof (request_text)];
  for (uint64_t round = 0; round < rounds; round++)
    {
      memcpy (text, request_text, sizeof (text));
      jd_damage_bytes (text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 6), NULL, &rng);
      jd_http_reader_t reader;
      size_t used = 0;
      enum http_parser_type type = round % 2 ? HTTP_REQUEST : HTTP_RESPONSE;
      jd_http_reader_init (&reader, type, HEAD_LIMIT, BODY_LIMIT);
      feed (&reader, text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 64), &used);
      CU_ASSERT_TRUE (used <= sizeof (text) - 1);
      CU_ASSERT_TRUE (reader.target_len <= reader.text->len);
      jd_http_reader_clear (&reader);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "bytes are kept in any pieces", bytes_are_kept_in_any_pieces },
    { "bad messages are refused", bad_messages_are_refused },
    { "end of connection", end_of_connection_ends_only_unframed_answers },
    { "damaged bytes", damaged_bytes_are_survived },
  };
  return JD_TEST_RUN ("http_reader", cases);
}
