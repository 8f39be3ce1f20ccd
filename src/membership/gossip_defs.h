#pragma once

#include <stdint.h>

#include "base/name.h"

/* The current version of a record in a process. */
typedef struct jd_digest_entry
{
  jd_name_t record;
  uint64_t version;
  uint64_t content_hash;
} jd_digest_entry_t;

/* Record versions of the sender. The receiver answers with a record_push for each record
 * that the sender lacks or has older, and a record_request for each that it has newer. */
typedef struct jd_digest
{
  int64_t platform_age_us; /* Time since the platform confirmed the keys; -1: never. */
  uint32_t entry_count;
  jd_digest_entry_t *entries;
} jd_digest_t;

typedef struct jd_record_push
{
  jd_name_t record;
  char *text;
  uint32_t length_bytes;
} jd_record_push_t;

typedef struct jd_record_request
{
  jd_name_t record;
} jd_record_request_t;
