/* Rec: a trace of what was fed to a decider and what it answered, as JSON
 * lines, to be replayed (process/replay.h).
 *
 * First line: {"trace": 1, "decider": "admission"}.  Then one line an event:
 * {"at": US, "do": NAME, "args": [...], "outcome": NUMBER}.
 */
#ifndef RECORDER_H
#define RECORDER_H

#include <stdio.h>

#include "process/admission.h"
#include "value/err.h"

enum { Rec_FORMAT = 1 };

typedef struct {
    FILE *file; /* NULL: nothing is recorded */
} Recorder;

/* Record into FILE; nothing when it is empty. */
bool Rec_Init(Recorder *recorder, Str file, Err *err);
void Rec_Finish(Recorder *recorder);

/* An AdmObserver; the context is the Recorder. */
void Rec_OnAdmission(void *recorder, const AdmEvent *event);

/* The name of an event in traces. */
Str Rec_AdmissionName(AdmEventKind kind);

#endif
