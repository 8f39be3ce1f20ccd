#include "stand_ins/target_documents.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"

/* Order of hits: higher score first, then by id. */
static int
compare_hits (const void *first, const void *second)
{
  const jd_document_hit_t *a = first;
  const jd_document_hit_t *b = second;
  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  return strcmp (a->id, b->id);
}

/* Derives ids and scores of all matches from hashes. */
uint32_t
jd_documents_search (const char *shard, uint64_t snapshot, const char *query,
                     uint32_t limit, jd_document_hit_t *hits)
{
  jd_document_hit_t all[JD_DOCUMENT_MATCHES] = { 0 };
  uint64_t query_hash = jd_hash_text (query, jd_hash_text (shard, snapshot));
  for (uint32_t i = 0; i < JD_DOCUMENT_MATCHES; i++)
    {
      char number[16];
      snprintf (number, sizeof (number), "%u", i);
      uint64_t hash = jd_hash_text (number, query_hash);
      snprintf (all[i].id, sizeof (all[i].id), "%.32s-%016llx", shard,
                (unsigned long long)hash);
      all[i].score = (double)(hash >> 11) * 0x1.0p-53;
    }
  qsort (all, JD_DOCUMENT_MATCHES, sizeof (all[0]), compare_hits);
  uint32_t count = limit < JD_DOCUMENT_MATCHES ? limit : JD_DOCUMENT_MATCHES;
  memcpy (hits, all, count * sizeof (all[0]));
  return count;
}
