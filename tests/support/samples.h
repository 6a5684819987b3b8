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

extern const Sample samples[];
extern const int sample_count;

/* Open BYTES as a message and read it with SAMPLE's decoder. */
bool Sample_Read(const Sample *sample, Str bytes, Err *err);

#endif
