#pragma once

#include "config/fleet_record.h"

/* What one seat needs to know of a fleet record. Lists end with NULL. */
typedef struct jd_fleet_view
{
  char *zone;
  char *cell;
  char *address;  /* Listed address of the seat; a process at another one must not run. */
  char **seats;   /* Seats of the own cell in the published order, for the lease. */
  char **cells;   /* Cells of the own role and zone, for the ownership. */
  char **peers;   /* Addresses of all seats, for the gossip. */
  char **brokers; /* Addresses of all brokers, for entries. */
} jd_fleet_view_t;

jd_fleet_view_t *jd_fleet_view_new (const jd_fleet_record_t *fleet, const char *seat);
void jd_fleet_view_free (jd_fleet_view_t *view);
const char *jd_fleet_view_address (const jd_fleet_record_t *fleet, const char *seat);
