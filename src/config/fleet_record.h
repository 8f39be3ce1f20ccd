#pragma once

#include "config/record.h"

typedef enum jd_role
{
  JD_ROLE_ENTRY,
  JD_ROLE_BROKER,
} jd_role_t;

/* A member of a group. */
typedef struct jd_member_record
{
  char *name;
  char *address; /* "IP:port" of the ROUTER socket of the member. */
  /* A voting-only member: it votes in the quorum of a group of another zone but never
   * owns anything. The process whose own member has the same address serves it. */
  gboolean voting_only;
} jd_member_record_t;

/* A failure-detection group: some or all members of one role in one zone. */
typedef struct jd_group_record
{
  char *name;
  char *zone;
  jd_role_t role;
  jd_member_record_t *members; /* The vote of the first member breaks ties in a quorum. */
  uint32_t member_count;
} jd_group_record_t;

typedef struct jd_zone_record
{
  char *name;
  double weight; /* Fraction of the rate of each organisation; the sum is at most 1. */
} jd_zone_record_t;

/* The published fleet of zones and groups. Immutable and reference counted. */
typedef struct jd_fleet_record
{
  jd_record_head_t head;
  uint32_t shares_per_zone;
  jd_zone_record_t *zones;
  uint32_t zone_count;
  jd_group_record_t *groups;
  uint32_t group_count;
} jd_fleet_record_t;

jd_fleet_record_t *jd_fleet_record_parse (const char *name, const char *text,
                                          size_t length, GError **error);
jd_fleet_record_t *jd_fleet_record_ref (jd_fleet_record_t *record);
void jd_fleet_record_unref (jd_fleet_record_t *record);
const jd_group_record_t *jd_fleet_record_group_of_member (const jd_fleet_record_t *record,
                                                          const char *member);
const jd_zone_record_t *jd_fleet_record_zone (const jd_fleet_record_t *record,
                                              const char *zone);
