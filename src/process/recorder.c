#include "process/recorder.h"

#include <inttypes.h>

bool
Rec_Init(Recorder *recorder, Str file, Err *err)
{
    StrBuf name = {0};

    *recorder = (Recorder){0};
    if (file.len == 0) {
        return true;
    }
    StrBuf_Set(&name, file);
    recorder->file = fopen(StrBuf_CStr(&name), "w");
    StrBuf_Finish(&name);
    if (!recorder->file) {
        return Err_SET(err, Err_IO, "cannot write %.*s", Str_ARG(file));
    }
    setvbuf(recorder->file, NULL, _IOLBF, BUFSIZ);
    fprintf(recorder->file, "{\"trace\":%d,\"decider\":\"admission\"}\n",
            Rec_FORMAT);
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
Rec_AdmissionName(AdmEventKind kind)
{
    static const Str names[] = {
        [Adm_DID_SETTINGS] = Str_LIT("settings"),
        [Adm_DID_ANNOUNCE] = Str_LIT("announce"),
        [Adm_DID_GONE] = Str_LIT("gone"),
        [Adm_DID_LEAVE] = Str_LIT("leave"),
        [Adm_DID_ASK] = Str_LIT("ask"),
        [Adm_DID_TURNED_AWAY] = Str_LIT("turned_away"),
        [Adm_DID_TAKEN] = Str_LIT("taken"),
        [Adm_DID_END] = Str_LIT("end"),
        [Adm_DID_LEAVE_LINE] = Str_LIT("leave_line"),
        [Adm_DID_NEXT] = Str_LIT("next"),
    };

    return kind < Adm_EVENTS ? names[kind] : (Str){0};
}

void
Rec_OnAdmission(void *context, const AdmEvent *event)
{
    Recorder *recorder = context;

    fprintf(recorder->file,
            "{\"at\":%" PRId64 ",\"do\":\"%.*s\",\"args\":[%" PRId64
            ",%" PRId64 ",%" PRId64 "],\"outcome\":%" PRId64 "}\n",
            event->at, Str_ARG(Rec_AdmissionName(event->kind)), event->args[0],
            event->args[1], event->args[2], event->outcome);
}
