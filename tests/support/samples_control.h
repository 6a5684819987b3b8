/* Samples of the messages of the log and the configuration. */
#ifndef SAMPLES_CONTROL_H
#define SAMPLES_CONTROL_H

#include "connection/wire.h"

void Sample_PackLog(Pack *pack);
bool Sample_ReadLog(Unpack *in, Err *err);
void Sample_PackHello(Pack *pack);
bool Sample_ReadHello(Unpack *in, Err *err);
void Sample_PackChange(Pack *pack);
bool Sample_ReadChange(Unpack *in, Err *err);
void Sample_PackChanged(Pack *pack);
bool Sample_ReadChanged(Unpack *in, Err *err);
void Sample_PackVersionAsk(Pack *pack);
bool Sample_ReadVersionAsk(Unpack *in, Err *err);
void Sample_PackVersion(Pack *pack);
bool Sample_ReadVersion(Unpack *in, Err *err);
void Sample_PackPresetsAsk(Pack *pack);
bool Sample_ReadPresetsAsk(Unpack *in, Err *err);
void Sample_PackPresets(Pack *pack);
bool Sample_ReadPresets(Unpack *in, Err *err);

#endif
