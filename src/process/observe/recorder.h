/* Rec: records the inputs and outcomes of a decider in a trace file.
 *
 * A decider is a module that makes decisions from its state, its arguments and
 * the time passed to it.  The admission controller
 * (process/admission/admission.h) and the attempt ledger
 * (process/admission/ledger.h) can be recorded.  process/observe/replay.h
 * replays a trace.
 *
 * A trace consists of JSON lines.  The first one is
 * {"trace": 1, "decider": "admission"}, or "ledger"; each other one is an
 * event: {"at": US, "do": NAME, "args": [...], "outcome": NUMBER}.  US is the
 * monotonic clock in microseconds.
 */
#ifndef RECORDER_H
#define RECORDER_H

#include <stdio.h>

#include "process/admission/admission.h"
#include "process/admission/ledger.h"
#include "value/err.h"

/* Version of the trace format. */
enum { Rec_FORMAT = 1 };

typedef struct {
    FILE *file; /* owned; NULL: nothing is recorded */
} Recorder;

/* Creates the file named FILE and SUFFIX, or empties it, and writes the first
 * line of a trace of DECIDER.  An empty FILE means that nothing is recorded.
 * Returns false and sets ERR when the file cannot be opened. */
bool Rec_Init(Recorder *recorder, Str decider, Str file, Str suffix, Err *err);

/* Closes the file, if any. */
void Rec_Finish(Recorder *recorder);

/* An AdmissionObserver whose context is a Recorder with an open file: appends
 * EVENT to the trace. */
void Rec_OnAdmission(void *recorder, const AdmissionEvent *event);

/* A LedgerObserver whose context is a Recorder with an open file: appends
 * EVENT to the trace. */
void Rec_OnLedger(void *recorder, const LedgerEvent *event);

/* Name of an event kind in traces, a static string; empty when KIND is out of
 * range. */
Str Rec_AdmissionEventName(AdmissionEventKind kind);
Str Rec_LedgerEventName(LedgerEventKind kind);

#endif
