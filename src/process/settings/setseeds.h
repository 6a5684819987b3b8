/* The settings for a set of control replicas that may change: the seeds, which
 * are the addresses at which a node looks for control replicas at its start.
 */
#ifndef SETSEEDS_H
#define SETSEEDS_H

#include "process/settings/settings.h"
#include "value/json.h"

/* Reads "control_seeds" of OBJECT with "control_port", "control",
 * "begin_history" and "control_voters".  Without seeds, seeds and replicas of
 * SETTINGS stay empty.  Only the IP address of a seed is used: its port
 * becomes "control_port", which is the port of "address" on every control
 * replica.  To be called after "address" was read, which gives the default
 * port.  Faults become findings of OBJECT. */
void Set_ReadSeeds(Settings *settings, JsonObject *object);

#endif
