#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "stand_ins/platform_server.h"
#include "support/http_call.h"
#include "support/test_main.h"

#define FLEET_RECORD                                                                     \
  "{\"schema_version\":1,\"record_version\":1,\"zones\":[{\"name\":\"a\",\"weight\":1}]" \
  ","                                                                                    \
  "\"shares_per_zone\":12,\"cells\":[{\"name\":\"c\",\"zone\":\"a\",\"role\":\"entry\"," \
  "\"seats\":[{\"name\":\"a-entry-0\",\"address\":\"127.0.0.1:7101\"}]}]}"

/* Runs jackdawctl with a line of arguments and returns its exit status, or -1 if it did
 * not exit. output may be NULL. */
static int
run_jackdawctl (const char *line, char **output)
{
  const char *build = getenv ("JACKDAW_BUILD_DIR");
  char *command = g_strdup_printf ("%s/jackdawctl %s", build ? build : "build", line);
  int status = -1;
  gboolean ran = g_spawn_command_line_sync (command, output, NULL, &status, NULL);
  g_free (command);
  return ran && WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Runs "validate" on a temporary file and returns the exit status. */
static int
validate (const char *file, const char *text, char **output)
{
  char *directory = g_dir_make_tmp ("jackdawctl-XXXXXX", NULL);
  char *path = g_build_filename (directory, file, NULL);
  CU_ASSERT_TRUE (g_file_set_contents (path, text, -1, NULL));
  char *line = g_strdup_printf ("validate %s", path);
  int status = run_jackdawctl (line, output);
  g_remove (path);
  g_rmdir (directory);
  g_free (line);
  g_free (path);
  g_free (directory);
  return status;
}

/* Guards against a validation that accepts a record which a host would refuse, and
 * against wrong exit statuses for missing arguments and an unreachable entry. */
static void
validate_rejects_an_invalid_record (void)
{
  char *output = NULL;
  CU_ASSERT_EQUAL (validate ("fleet.json", FLEET_RECORD, &output), 0);
  g_free (output);
  CU_ASSERT_EQUAL (validate ("zones.json",
                             "{\"schema_version\":1,\"record_version\":1,"
                             "\"zones\":[{\"name\":\"a\",\"state\":\"off\"}]}",
                             &output),
                   1);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "zones[0].state"));
  g_free (output);
  CU_ASSERT_EQUAL (run_jackdawctl ("validate", NULL), 2);
  CU_ASSERT_EQUAL (run_jackdawctl ("status --entry http://127.0.0.1:1", NULL), 3);
}

/* Runs a command with --publish-to and returns the exit status. */
static int
run_with_publish_to (const char *command, const char *url, char **output)
{
  char *line = g_strdup_printf ("%s --publish-to %s", command, url);
  int status = run_jackdawctl (line, output);
  g_free (line);
  return status;
}

/* Guards against a drain that drops earlier states from the hosts record, publishes a
 * version twice, or accepts a member or zone that the fleet does not have. */
static void
drain_publishes_the_next_version (void)
{
  jd_timer_queue_t *timers = jd_timer_queue_new ();
  jd_platform_options_t options = { .ip = "127.0.0.1",
                                    .max_reads_per_second = 2000,
                                    .timers = timers };
  jd_platform_t *platform = jd_platform_new (&options, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (platform);
  char *url = g_strdup_printf ("http://127.0.0.1:%u", jd_platform_port (platform));
  char *path = g_strconcat (url, "/v1/records/fleet", NULL);
  jd_http_reply_t reply = jd_http_call ("PUT", path, NULL, FLEET_RECORD, 3000);
  jd_http_reply_clear (&reply);
  CU_ASSERT_EQUAL (run_with_publish_to ("target-out t7", url, NULL), 0);
  CU_ASSERT_EQUAL (run_with_publish_to ("drain a-entry-0", url, NULL), 0);
  CU_ASSERT_EQUAL (run_with_publish_to ("drain a-entry-9", url, NULL), 1);
  CU_ASSERT_EQUAL (run_with_publish_to ("zone-out b", url, NULL), 1);
  reply = jd_http_get ("%s/v1/records/hosts", url);
  CU_ASSERT_STRING_EQUAL (
      reply.body, "{\"schema_version\":1,\"record_version\":2,\"targets\":[{\"id\":"
                  "\"t7\",\"state\":\"leaving\"}],\"seats\":[{\"name\":\"a-entry-0\","
                  "\"state\":\"draining\"}]}");
  jd_http_reply_clear (&reply);
  jd_platform_stop (platform);
  jd_timer_queue_free (timers);
  jd_platform_free (platform);
  g_free (path);
  g_free (url);
}

/* Guards against a request trace that lacks the last known state of the target at the
 * request's host or the explanation of its result, that includes lines of other hosts or
 * requests, and against exit status 0 for an unknown id. */
static void
explain_prints_the_trace_of_a_request (void)
{
  static const char log[] =
      "time=1.0 level=info host=h1 event=target_ejected target=t1 cause=failures\n"
      "time=1.1 level=info host=h2 event=target_ejected target=t1 cause=other\n"
      "time=2.0 level=info host=h1 event=attempt_failed id=r1 target=t1 outcome=shed\n"
      "time=2.1 level=info host=h1 event=request_done id=r1 end=not_run status=503\n"
      "time=2.1 level=info host=h1 event=request_done id=r10 end=served status=200\n";
  char *directory = g_dir_make_tmp ("jackdawctl-XXXXXX", NULL);
  char *path = g_build_filename (directory, "log", NULL);
  CU_ASSERT_TRUE (g_file_set_contents (path, log, -1, NULL));
  char *line = g_strdup_printf ("explain r1 %s", path);
  char *output = NULL;
  CU_ASSERT_EQUAL (run_jackdawctl (line, &output), 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "cause=failures"));
  CU_ASSERT_PTR_NULL (strstr (output, "cause=other"));
  CU_ASSERT_PTR_NULL (strstr (output, "id=r10"));
  CU_ASSERT_PTR_NOT_NULL (strstr (output, "no target could take it"));
  g_free (output);
  g_free (line);
  line = g_strdup_printf ("explain r2 %s", path);
  CU_ASSERT_EQUAL (run_jackdawctl (line, NULL), 1);
  g_free (line);
  g_remove (path);
  g_rmdir (directory);
  g_free (path);
  g_free (directory);
}

int
main (void)
{
  const jd_test_case_t cases[] = {
    { "validate rejects an invalid record", validate_rejects_an_invalid_record },
    { "drain publishes the next version", drain_publishes_the_next_version },
    { "explain prints the trace of a request", explain_prints_the_trace_of_a_request },
  };
  return JD_TEST_RUN ("jackdawctl", cases);
}
