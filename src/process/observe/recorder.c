#include "process/observe/recorder.h"

#include <inttypes.h>

bool
Rec_Init(Recorder *recorder, Str decider, Str file, Str suffix, Err *err)
{
    StrBuf name = {0};

    *recorder = (Recorder){0};
    if (file.len == 0) {
        return true;
    }
    StrBuf_Set(&name, file);
    StrBuf_Append(&name, suffix);
    recorder->file = fopen(StrBuf_CStr(&name), "w");
    StrBuf_Finish(&name);
    if (!recorder->file) {
        return Err_SET(err, Err_IO, "cannot write %.*s", Str_ARG(file));
    }
    setvbuf(recorder->file, NULL, _IOLBF, BUFSIZ);
    fprintf(recorder->file, "{\"trace\":%d,\"decider\":\"%.*s\"}\n",
            Rec_FORMAT, Str_ARG(decider));
    return true;
}

void
Rec_Finish(Recorder *recorder)
{
    if (recorder->file) {
        fclose(recorder->file);
        recorder->file = NULL;
    }
}

Str
Rec_AdmissionEventName(AdmissionEventKind kind)
{
    static const Str names[] = {
        [Adm_EVENT_SETTINGS] = Str_LIT("settings"),
        [Adm_EVENT_ANNOUNCE] = Str_LIT("announce"),
        [Adm_EVENT_BACKEND_GONE] = Str_LIT("gone"),
        [Adm_EVENT_STOP] = Str_LIT("leave"),
        [Adm_EVENT_ADMIT] = Str_LIT("ask"),
        [Adm_EVENT_BACKEND_REJECT] = Str_LIT("turned_away"),
        [Adm_EVENT_BACKEND_ACCEPT] = Str_LIT("taken"),
        [Adm_EVENT_ATTEMPT_END] = Str_LIT("end"),
        [Adm_EVENT_QUEUE_CANCEL] = Str_LIT("leave_line"),
        [Adm_EVENT_START_NEXT] = Str_LIT("next"),
        [Adm_EVENT_PACE_REPORT] = Str_LIT("said"),
        [Adm_EVENT_QUEUE_AHEAD] = Str_LIT("queue_ahead"),
        [Adm_EVENT_EVACUATED] = Str_LIT("evacuated"),
        [Adm_EVENT_COLD_OPEN] = Str_LIT("cold_open"),
        [Adm_EVENT_COLD_BOUND] = Str_LIT("cold_bound"),
        [Adm_EVENT_COLD_WORD] = Str_LIT("cold_word"),
        [Adm_EVENT_REPEAT] = Str_LIT("repeat"),
    };

    return kind < Adm_EVENT_COUNT ? names[kind] : (Str){0};
}

Str
Rec_LedgerEventName(LedgerEventKind kind)
{
    static const Str names[] = {
        [Led_EVENT_SETTINGS] = Str_LIT("settings"),
        [Led_EVENT_START] = Str_LIT("start"),
        [Led_EVENT_RETENTION] = Str_LIT("retention"),
        [Led_EVENT_ATTEMPT] = Str_LIT("attempt"),
        [Led_EVENT_REFUSED] = Str_LIT("refused"),
        [Led_EVENT_ENDED] = Str_LIT("done"),
        [Led_EVENT_UNKNOWN] = Str_LIT("lost"),
        [Led_EVENT_FENCE] = Str_LIT("fence"),
        [Led_EVENT_EXPIRE] = Str_LIT("expire"),
    };

    return kind < Led_EVENT_COUNT ? names[kind] : (Str){0};
}

static void
write_event(FILE *file, Str name, Instant at, const int64_t *args,
            size_t count, int64_t outcome)
{
    fprintf(file, "{\"at\":%" PRId64 ",\"do\":\"%.*s\",\"args\":[", at,
            Str_ARG(name));
    for (size_t i = 0; i < count; i++) {
        fprintf(file, "%s%" PRId64, i ? "," : "", args[i]);
    }
    fprintf(file, "],\"outcome\":%" PRId64 "}\n", outcome);
}

void
Rec_OnAdmission(void *context, const AdmissionEvent *event)
{
    Recorder *recorder = context;

    write_event(recorder->file, Rec_AdmissionEventName(event->kind),
                event->time, event->args, Adm_EVENT_ARGS, event->outcome);
}

void
Rec_OnLedger(void *context, const LedgerEvent *event)
{
    Recorder *recorder = context;

    write_event(recorder->file, Rec_LedgerEventName(event->kind), event->at,
                event->args, Led_EVENT_ARGS, event->outcome);
}
