/* Samples: one valid message for each decoder, to be spoiled by tests. */
#ifndef SAMPLES_H
#define SAMPLES_H

#include "connection/wire.h"

typedef struct {
    const char *name;
    void (*pack)(Pack *pack);
    /* Reads the fields after the envelope, and touches every string. */
    bool (*read)(Unpack *in, Err *err);
} Sample;

/* Messages of calls and membership; of keyed calls, log and configuration. */
extern const Sample call_samples[];
extern const int call_sample_count;
extern const Sample control_samples[];
extern const int control_sample_count;

int Sample_Count(void);
const Sample *Sample_Get(int index);

/* Reads every byte of TEXT, so that the address sanitizer notices a string
 * outside its message. */
void Sample_Touch(Str text);

/* Open BYTES as a message and read it with SAMPLE's decoder. */
bool Sample_Read(const Sample *sample, Str bytes, Err *err);

#endif
