#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

typedef enum jd_faulty_target_mode
{
  JD_FAULTY_TARGET_HEALTHY, /* Answers as a healthy target. */
  JD_FAULTY_TARGET_CLOSE,   /* Reads the whole request, then closes the connection. */
  JD_FAULTY_TARGET_WRONG_REQUEST_ID, /* Answers with the request id of another request. */
  JD_FAULTY_TARGET_SILENT,           /* Answers neither this request nor later ones on its
                                        connection. */
  JD_FAULTY_TARGET_UNTIL_CANCEL      /* Answers searches, fetches and edits once they are
                                        cancelled. */
} jd_faulty_target_mode_t;

/* An HTTP target on raw sockets with one thread for each connection. Its mode selects a
 * fault and may be set at any time. */
typedef struct jd_faulty_target
{
  uint16_t port;
  int listener;
  GThread *thread;
  _Atomic int mode; /* jd_faulty_target_mode_t */
  _Atomic int stopped;
  _Atomic int open_connections; /* Open connections, each with a thread. */
  _Atomic int accepted_connections;
  _Atomic int reads;   /* Complete search and fetch requests. */
  _Atomic int edits;   /* Complete edit requests. */
  _Atomic int cancels; /* Cancellations of the waiting request. */
  GMutex lock;
  char
      *last_request_head; /* Latest request other than /health and /cancel; NULL: none. */
  char *waiting_request_id; /* Id of the request that waits for its cancellation, or NULL.
                             */
} jd_faulty_target_t;

void jd_faulty_target_start (jd_faulty_target_t *target);
void jd_faulty_target_stop (jd_faulty_target_t *target);
