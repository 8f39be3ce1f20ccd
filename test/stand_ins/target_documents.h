#pragma once

#include <stdint.h>

/* Number of documents of a shard that match any query. */
#define JD_DOCUMENT_MATCHES 50

typedef struct jd_document_hit
{
  char id[64];
  double score; /* 0 to 1 */
} jd_document_hit_t;

/* Stores the best hits of a query in one shard of one snapshot, best first, and returns
 * their number: the smaller of limit and JD_DOCUMENT_MATCHES. Ids and scores depend on
 * the shard, the snapshot and the query only, so that a test can compute the answer. */
uint32_t jd_documents_search (const char *shard, uint64_t snapshot, const char *query,
                              uint32_t limit, jd_document_hit_t *hits);
