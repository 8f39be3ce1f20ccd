#include "transport/http_reader.h"

#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "support/damage.h"
#include "support/test_main.h"

#define HEAD_LIMIT_BYTES 4096
#define BODY_LIMIT_BYTES 4096

static const char request_text[] =
    "POST /a%2Fb%00c?x=%20&y HTTP/1.1\r\nHost: Shop.example\r\nX-Odd-CASE:  a  b \r\n"
    "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\nNEXT";

/* Passes a text to the reader in pieces of the given size until the message ends. Returns
 * the last progress; total_used counts the bytes that the reader used. */
static jd_http_progress_t
feed_in_pieces (jd_http_reader_t *reader, const char *text, size_t size, size_t piece,
                size_t *total_used)
{
  *total_used = 0;
  jd_http_progress_t progress = JD_HTTP_MORE;
  while (*total_used < size && progress == JD_HTTP_MORE)
    {
      size_t used = 0;
      progress = jd_http_reader_feed (reader, text + *total_used,
                                      MIN (piece, size - *total_used), &used);
      *total_used += used;
    }
  return progress;
}

/* Guards against a request target, header or body that depends on the pieces in which a
 * request arrives, and against bytes of the next request that become part of this one. */
static void
request_is_unaltered_by_pieces (void)
{
  for (size_t piece = 1; piece <= sizeof (request_text); piece++)
    {
      jd_http_reader_t reader;
      size_t used = 0;
      jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
      CU_ASSERT_EQUAL (
          feed_in_pieces (&reader, request_text, strlen (request_text), piece, &used),
          JD_HTTP_COMPLETE);
      CU_ASSERT_EQUAL (used, strlen (request_text) - strlen ("NEXT"));
      CU_ASSERT_NSTRING_EQUAL (reader.text->str, "/a%2Fb%00c?x=%20&y",
                               reader.request_target_len);
      CU_ASSERT_STRING_EQUAL (jd_http_reader_value (&reader, "host"), "Shop.example");
      CU_ASSERT_STRING_EQUAL (reader.body->str, "hello world");
      CU_ASSERT_TRUE (reader.keep_alive);
      jd_http_reader_clear (&reader);
    }
}

/* Guards against request smuggling, by two lengths or by a space in a header name, and
 * against heads and bodies that exceed the limits. */
static void
malformed_and_too_large_requests_are_rejected (void)
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
      jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
      CU_ASSERT_EQUAL (
          feed_in_pieces (&reader, cases[i].text, strlen (cases[i].text), 7, &used),
          cases[i].expected);
      jd_http_reader_clear (&reader);
    }
  GString *large = g_string_new ("GET / HTTP/1.1\r\nX: ");
  for (int i = 0; i < 70000; i++)
    g_string_append_c (large, 'a');
  jd_http_reader_t reader;
  size_t used = 0;
  jd_http_reader_init (&reader, HTTP_REQUEST, HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
  CU_ASSERT_EQUAL (feed_in_pieces (&reader, large->str, large->len, 1000, &used),
                   JD_HTTP_HEAD_TOO_LARGE);
  jd_http_reader_clear (&reader);
  g_string_free (large, TRUE);
}

/* Guards against a response without a length that counts as complete before its
 * connection closes, and against a response with a length that counts as complete when it
 * is truncated. */
static void
close_completes_only_responses_without_length (void)
{
  static const char unframed[] = "HTTP/1.1 200 OK\r\n\r\npart";
  static const char framed[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart";
  jd_http_reader_t reader;
  size_t used = 0;
  jd_http_reader_init (&reader, HTTP_RESPONSE, HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
  CU_ASSERT_EQUAL (feed_in_pieces (&reader, unframed, strlen (unframed), 100, &used),
                   JD_HTTP_MORE);
  CU_ASSERT_EQUAL (jd_http_reader_on_close (&reader), JD_HTTP_COMPLETE);
  CU_ASSERT_STRING_EQUAL (reader.body->str, "part");
  CU_ASSERT_FALSE (reader.keep_alive);
  jd_http_reader_restart (&reader);
  CU_ASSERT_EQUAL (feed_in_pieces (&reader, framed, strlen (framed), 100, &used),
                   JD_HTTP_MORE);
  CU_ASSERT_EQUAL (jd_http_reader_on_close (&reader), JD_HTTP_MALFORMED);
  jd_http_reader_clear (&reader);
}

/* Guards against crashes and endless loops on corrupt input. After randomly mutated bytes
 * the reader has used no more than its input, and the request target lies in its text. */
static void
corrupt_bytes_leave_valid_state (void)
{
  jd_philox_t state = { .seed = 11 };
  jd_rng_t rng = jd_philox_rng (&state);
  uint64_t rounds = jd_corruption_rounds (20000);
  char text[sizeof (request_text)];
  for (uint64_t round = 0; round < rounds; round++)
    {
      memcpy (text, request_text, sizeof (text));
      jd_corrupt_bytes (text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 6), NULL, &rng);
      jd_http_reader_t reader;
      size_t used = 0;
      enum http_parser_type type = round % 2 ? HTTP_REQUEST : HTTP_RESPONSE;
      jd_http_reader_init (&reader, type, HEAD_LIMIT_BYTES, BODY_LIMIT_BYTES);
      feed_in_pieces (&reader, text, sizeof (text) - 1, 1 + jd_rng_below (&rng, 64),
                      &used);
      CU_ASSERT_TRUE (used <= sizeof (text) - 1);
      CU_ASSERT_TRUE (reader.request_target_len <= reader.text->len);
      jd_http_reader_clear (&reader);
    }
}

/* Guards against answers with a status that the protocol does not have: they were taken
 * for interim answers, which holds the caller until its deadline, or were passed on. */
static void
only_statuses_of_the_protocol_are_accepted (void)
{
  static const struct
  {
    const char *line;
    bool is_valid;
  } cases[] = {
    { "HTTP/1.1 200 OK", true },   { "HTTP/1.1 200", true },
    { "HTTP/1.1 200 ", true },     { "HTTP/1.0 404 Not Found", true },
    { "HTTP/1.1 100", true },      { "HTTP/1.1 103 Early Hints", true },
    { "HTTP/1.1 299", true },      { "HTTP/1.1 599 x", true },
    { "HTTP/1.1 000 OK", false },  { "HTTP/1.1 001 OK", false },
    { "HTTP/1.1 099 OK", false },  { "HTTP/1.1 101 Switching Protocols", false },
    { "HTTP/1.1 600 OK", false },  { "HTTP/1.1 999 OK", false },
    { "HTTP/1.1 20 OK", false },   { "HTTP/1.1 2 OK", false },
    { "HTTP/1.1 0200 OK", false }, { "HTTP/1.1 2000 OK", false },
    { "HTTP/1.1 -20 OK", false },  { "HTTP/1.1 +200 OK", false },
    { "HTTP/1.1  200 OK", false }, { "HTTP/1.1 2x0 OK", false },
    { "HTTP/2.0 200 OK", false },  { "HTTP/0.9 200 OK", false },
    { "HTTP/1.10 200 OK", false }, { "http/1.1 200 OK", false },
    { "HTTP/1.1\t200 OK", false }, { "ICY 200 OK", false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("%s\r\nContent-Length: 0\r\n\r\n", cases[i].line);
      /* The answer arrives whole or byte by byte. */
      for (size_t step = 1; step <= strlen (text); step += strlen (text) - 1)
        {
          jd_http_reader_t reader;
          jd_http_reader_init (&reader, HTTP_RESPONSE, 4096, 4096);
          jd_http_progress_t progress = JD_HTTP_MORE;
          for (size_t at = 0; at < strlen (text) && progress == JD_HTTP_MORE; at += step)
            {
              size_t used = 0;
              progress = jd_http_reader_feed (&reader, text + at,
                                              MIN (step, strlen (text) - at), &used);
            }
          if ((progress == JD_HTTP_COMPLETE) != cases[i].is_valid)
            printf ("%s ", cases[i].line);
          CU_ASSERT_EQUAL (progress == JD_HTTP_COMPLETE, cases[i].is_valid);
          jd_http_reader_clear (&reader);
        }
      g_free (text);
    }
}

int
main (void)
{
  static const jd_test_case_t cases[] = {
    { "only statuses of the protocol are accepted",
      only_statuses_of_the_protocol_are_accepted },
    { "request is read unaltered from pieces of any size",
      request_is_unaltered_by_pieces },
    { "malformed and too large requests are rejected",
      malformed_and_too_large_requests_are_rejected },
    { "closed connection completes only a response without a length",
      close_completes_only_responses_without_length },
    { "corrupt bytes leave the reader in a valid state",
      corrupt_bytes_leave_valid_state },
  };
  return JD_TEST_RUN ("http_reader", cases);
}
