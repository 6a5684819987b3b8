/* Rec: a trace of what was fed to a decider and what it answered, as JSON
 * lines, to be replayed (process/replay.h).
 *
 * First line: {"trace": 1, "decider": "admission"}, or "ledger".  Then one
 * line an event:
 * {"at": US, "do": NAME, "args": [...], "outcome": NUMBER}.
 */
#ifndef RECORDER_H
#define RECORDER_H

#include <stdio.h>

#include "process/admission.h"
#include "process/ledger.h"
#include "value/err.h"

enum { Rec_FORMAT = 1 };

typedef struct {
    FILE *file; /* NULL: nothing is recorded */
} Recorder;

/* Record DECIDER into FILE with SUFFIX; nothing when FILE is empty. */
bool Rec_Init(Recorder *recorder, Str decider, Str file, Str suffix, Err *err);
void Rec_Finish(Recorder *recorder);

/* An AdmissionObserver; the context is the Recorder. */
void Rec_OnAdmission(void *recorder, const AdmissionEvent *event);

/* A LedgerObserver; the context is the Recorder. */
void Rec_OnLedger(void *recorder, const LedgerEvent *event);

/* The name of an event in traces. */
Str Rec_AdmissionEventName(AdmissionEventKind kind);
Str Rec_LedgerEventName(LedgerEventKind kind);

#endif
