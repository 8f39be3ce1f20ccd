#pragma once

#include <stdint.h>

#include "base/name.h"

/* One record version that a process has in force. */
typedef struct jd_digest_entry
{
  jd_name_t record;
  uint64_t version;
  uint64_t content_hash;
} jd_digest_entry_t;

/* All versions of the sender. Answered with record_push for records that the sender
 * lacks and record_ask for those that it has newer. */
typedef struct jd_digest
{
  int64_t platform_age_us; /* Age of the last confirmation by the platform; -1: never. */
  uint32_t entry_count;
  jd_digest_entry_t *entries;
} jd_digest_t;

typedef struct jd_record_push
{
  jd_name_t record;
  char *text;
  uint32_t length_bytes;
} jd_record_push_t;

typedef struct jd_record_ask
{
  jd_name_t record;
} jd_record_ask_t;
