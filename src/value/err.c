#include "value/err.h"

#include <stdarg.h>
#include <stdio.h>

bool
Err_Set(Err *err, ErrCode code, const char *file, int line, const char *fmt,
        ...)
{
    va_list args;
    int len;

    if (!err || err->code != Err_NONE) {
        return false;
    }
    err->code = code;
    err->file = file;
    err->line = line;
    va_start(args, fmt);
    len = vsnprintf(err->text, sizeof err->text, fmt, args);
    va_end(args);
    err->text_len = len < 0 ? 0 : (size_t)len;
    if (err->text_len >= sizeof err->text) {
        err->text_len = sizeof err->text - 1;
    }
    return false;
}

Str
Err_Name(ErrCode code)
{
    static const Str names[] = {
        [Err_NONE] = Str_LIT("none"),
        [Err_MALFORMED] = Str_LIT("malformed"),
        [Err_TOO_LARGE] = Str_LIT("too_large"),
        [Err_VERSION] = Str_LIT("version"),
        [Err_UNREACHABLE] = Str_LIT("unreachable"),
        [Err_REFUSED] = Str_LIT("refused"),
        [Err_CONFLICT] = Str_LIT("conflict"),
        [Err_DENIED] = Str_LIT("denied"),
        [Err_TIMEOUT] = Str_LIT("timeout"),
        [Err_IO] = Str_LIT("io"),
        [Err_BUSY] = Str_LIT("busy"),
        [Err_CORRUPT] = Str_LIT("corrupt"),
        [Err_INTERNAL] = Str_LIT("internal"),
    };

    return names[code];
}

Str
Err_Text(const Err *err)
{
    return Str_From(err->text, err->text_len);
}
