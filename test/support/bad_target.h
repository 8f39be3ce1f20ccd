#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdint.h>

typedef enum jd_bad_mode
{
  JD_BAD_NOTHING,     /* Answers as it should. */
  JD_BAD_CLOSE,       /* Closes the connection after it has read the whole request. */
  JD_BAD_CROSSED,     /* Answers with the id of another request. */
  JD_BAD_SILENT,      /* Never answers this request, nor later ones of the connection. */
  JD_BAD_UNTIL_CANCEL /* Answers work only once it is cancelled. */
} jd_bad_mode_t;

/* An HTTP target on raw sockets, one thread for each connection, that misbehaves. */
typedef struct jd_bad_target
{
  uint16_t port;
  int listener;
  GThread *thread;
  _Atomic int mode;
  _Atomic int stopped;
  _Atomic int open; /* Connection threads. */
  _Atomic int connections;
  _Atomic int reads;   /* Whole requests for search and fetch. */
  _Atomic int edits;   /* Whole requests for edits. */
  _Atomic int cancels; /* Cancellations of the waiting request. */
  GMutex lock;
  char *last_head; /* Head of the latest work. */
  char *waiting;   /* Id of the request that waits for its cancellation. */
} jd_bad_target_t;

void jd_bad_target_start (jd_bad_target_t *target);
void jd_bad_target_stop (jd_bad_target_t *target);
