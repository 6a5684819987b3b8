#include "fleet.h"

#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "process/settings.h"
#include "value/mem.h"

enum { ARGS_MAX = 40 };

static const char *const domains[] = {"norte-a", "norte-b", "litoral-a",
                                      "litoral-b"};

static const Str default_preset = Str_LIT(
    "{\"name\":\"ordinary\",\"limits\":{},\"routes\":["
    "{\"service\":\"visor\",\"route\":\"read\",\"path\":\"/visor/\","
    "\"interactive\":true,\"idempotent\":true},"
    "{\"service\":\"despachos\",\"route\":\"book\",\"method\":\"POST\","
    "\"path\":\"/despachos/\",\"key_header\":\"Idempotency-Key\"}]}");

static void
write_file(Fleet *fleet, Str name, Str text)
{
    StrBuf path = {0};
    FILE *file;

    StrBuf_AppendFmt(&path, "%.*s/%.*s", Str_ARG(fleet->folder),
                     Str_ARG(name));
    file = fopen(StrBuf_CStr(&path), "w");
    fwrite(text.ptr, 1, text.len, file);
    fclose(file);
    StrBuf_Finish(&path);
}

void
Fleet_SetPreset(Fleet *fleet, Str json)
{
    write_file(fleet, Str_LIT("preset.json"), json);
}

void
Fleet_Init(Fleet *fleet, Str build, int subnet, int count, int control)
{
    char folder[] = "/tmp/fleet-XXXXXX";

    *fleet = (Fleet){.subnet = subnet, .count = count, .control = control};
    StrBuf_Set(&fleet->build, build);
    StrBuf_Set(&fleet->folder, Str_FromC(mkdtemp(folder)));
    for (int i = 0; i < count; i++) {
        fleet->vms[i].number = i;
        StrBuf_AppendFmt(&fleet->vms[i].ip, "127.0.%d.%d", subnet, i + 1);
    }
    Fleet_SetPreset(fleet, default_preset);
}

void
Fleet_Sleep(Span time)
{
    struct timespec wait = {time / 1000000, time % 1000000 * 1000};

    nanosleep(&wait, NULL);
}

static pid_t
start(Fleet *fleet, StrBuf *command, const char *log)
{
    char *args[ARGS_MAX];
    int count = 0;
    char *rest = NULL;
    StrBuf path = {0};
    pid_t child;

    StrBuf_CStr(command);
    for (char *arg = strtok_r(command->ptr, " ", &rest);
         arg && count < ARGS_MAX - 1; arg = strtok_r(NULL, " ", &rest)) {
        args[count++] = arg;
    }
    args[count] = NULL;
    StrBuf_AppendFmt(&path, "%.*s/%s.log", Str_ARG(fleet->folder), log);
    StrBuf_CStr(&path);
    child = fork();
    if (child == 0 && count > 0) {
        if (!freopen(path.ptr, "a", stderr)) {
            _exit(126);
        }
        execv(args[0], args);
        _exit(127);
    }
    StrBuf_Finish(&path);
    return child;
}

static void
append_settings(Fleet *fleet, const FleetVm *vm, StrBuf *out)
{
    StrBuf_AppendFmt(out, "{\"name\":\"vm%d\",", vm->number);
    StrBuf_AppendFmt(out, "\"address\":\"%.*s:7400\",", Str_ARG(vm->ip));
    StrBuf_AppendFmt(out, "\"callers\":\"%.*s:8000\",", Str_ARG(vm->ip));
    StrBuf_AppendFmt(out, "\"operators\":\"%.*s:8100\",", Str_ARG(vm->ip));
    StrBuf_AppendFmt(out, "\"failure_domain\":\"%s\",",
                     domains[vm->number % 4]);
    StrBuf_AppendFmt(out, "\"failure_domains\":[");
    for (int i = 0; i < 4; i++) {
        StrBuf_AppendFmt(out, "%s{\"name\":\"%s\",\"region\":\"%s\"}",
                         i ? "," : "", domains[i],
                         i < 2 ? "norte" : "litoral");
    }
    StrBuf_AppendFmt(out, "],\"control_replicas\":[");
    for (int i = 0; i < fleet->control; i++) {
        StrBuf_AppendFmt(out, "%s\"%.*s:7400\"", i ? "," : "",
                         Str_ARG(fleet->vms[i].ip));
    }
    StrBuf_AppendFmt(out, "],\"data_folder\":\"%.*s/data%d\",",
                     Str_ARG(fleet->folder), vm->number);
    StrBuf_AppendFmt(out, "\"preset\":\"%.*s/preset.json\",",
                     Str_ARG(fleet->folder));
    StrBuf_AppendFmt(out, "\"operator_key\":\"test-key\","
                          "\"heartbeat_ms\":200,\"member_expiry_ms\":1000,"
                          "\"backend_expiry_ms\":1500}");
}

void
Fleet_StartNode(Fleet *fleet, int number)
{
    FleetVm *vm = &fleet->vms[number];
    StrBuf text = {0};
    StrBuf name = {0};
    StrBuf command = {0};

    StrBuf_AppendFmt(&name, "%.*s/data%d", Str_ARG(fleet->folder), number);
    mkdir(StrBuf_CStr(&name), 0755);
    StrBuf_Clear(&name);
    append_settings(fleet, vm, &text);
    StrBuf_AppendFmt(&name, "node%d.json", number);
    write_file(fleet, StrBuf_View(&name), StrBuf_View(&text));
    StrBuf_AppendFmt(&command, "%.*s/lycheeridged %.*s/%.*s",
                     Str_ARG(fleet->build), Str_ARG(fleet->folder),
                     Str_ARG(name));
    vm->node = start(fleet, &command, StrBuf_CStr(&name));
    StrBuf_Finish(&text);
    StrBuf_Finish(&name);
    StrBuf_Finish(&command);
}

void
Fleet_StartBackend(Fleet *fleet, int number, Str service, Str options)
{
    FleetVm *vm = &fleet->vms[number];
    StrBuf command = {0};

    StrBuf_Set(&vm->service, service);
    StrBuf_AppendFmt(&command,
                     "%.*s/fakeback --service %.*s --listen %.*s:9000 "
                     "--node %.*s:8100 --effects %.*s/effects%d %.*s",
                     Str_ARG(fleet->build), Str_ARG(service), Str_ARG(vm->ip),
                     Str_ARG(vm->ip), Str_ARG(fleet->folder), number,
                     Str_ARG(options));
    vm->backend = start(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

int
Fleet_Kill(pid_t *process, int number)
{
    int status = 0;

    if (*process > 0) {
        kill(*process, number);
        waitpid(*process, &status, 0);
        *process = 0;
    }
    return status;
}

void
Fleet_Finish(Fleet *fleet)
{
    StrBuf command = {0};

    for (int i = 0; i < fleet->count; i++) {
        FleetVm *vm = &fleet->vms[i];
        Fleet_Kill(&vm->backend, SIGKILL);
        Fleet_Kill(&vm->node, SIGKILL);
        StrBuf_Finish(&vm->ip);
        StrBuf_Finish(&vm->service);
    }
    StrBuf_AppendFmt(&command, "rm -rf %.*s", Str_ARG(fleet->folder));
    if (!getenv("KEEP_FLEET") && system(StrBuf_CStr(&command)) != 0) {
        perror("fleet");
    }
    StrBuf_Finish(&command);
    StrBuf_Finish(&fleet->build);
    StrBuf_Finish(&fleet->folder);
    StrBuf_Finish(&fleet->preset);
}

static size_t
take_body(char *bytes, size_t size, size_t count, void *context)
{
    StrBuf_Append(context, Str_From(bytes, size * count));
    return size * count;
}

static size_t
take_header(char *bytes, size_t size, size_t count, void *context)
{
    FleetAnswer *answer = context;
    Str line = Str_From(bytes, size * count);
    size_t colon = Str_Find(line, ':');

    if (Str_EqualNoCase(Str_Slice(line, 0, colon),
                        Str_LIT("X-Lycheeridge-Outcome"))) {
        Str value = Str_Trim(Str_Slice(line, colon + 1, line.len));
        StrBuf_Set(&answer->outcome,
                   Str_Slice(value, 0, Str_Find(value, '\r')));
    }
    return size * count;
}

void
Fleet_FinishAnswer(FleetAnswer *answer)
{
    StrBuf_Finish(&answer->body);
    StrBuf_Finish(&answer->outcome);
}

void
Fleet_Call(Fleet *fleet, int vm, Str method, Str path, Str key, Str body,
           FleetAnswer *answer)
{
    CURL *curl = curl_easy_init();
    struct curl_slist *headers = NULL;
    StrBuf url = {0};
    StrBuf text = {0};
    StrBuf verb = {0};

    *answer = (FleetAnswer){0};
    StrBuf_AppendFmt(&url, "http://%.*s:8000%.*s", Str_ARG(fleet->vms[vm].ip),
                     Str_ARG(path));
    StrBuf_Set(&verb, method);
    if (key.len) {
        StrBuf_AppendFmt(&text, "Idempotency-Key: %.*s", Str_ARG(key));
        headers = curl_slist_append(headers, StrBuf_CStr(&text));
    }
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_URL, StrBuf_CStr(&url));
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, StrBuf_CStr(&verb));
    if (body.len) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body.len);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.ptr);
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, take_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &answer->body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, answer);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 20000L);
    answer->whole = curl_easy_perform(curl) == CURLE_OK;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    StrBuf_Finish(&url);
    StrBuf_Finish(&text);
    StrBuf_Finish(&verb);
}

bool
Fleet_WaitFor(Fleet *fleet, int vm, Str path, Span wait)
{
    for (Span waited = 0; waited < wait; waited += Span_MS(50)) {
        FleetAnswer answer;
        bool good;
        Fleet_Call(fleet, vm, Str_LIT("GET"), path, (Str){0}, (Str){0},
                   &answer);
        good = answer.status == 200 && answer.whole;
        Fleet_FinishAnswer(&answer);
        if (good) {
            return true;
        }
        Fleet_Sleep(Span_MS(50));
    }
    return false;
}

static int
count_lines(Str text, Str key)
{
    int count = 0;

    while (text.len) {
        size_t end = Str_Find(text, '\n');
        Str line = Str_Slice(text, 0, end);
        if (Str_Equal(Str_Slice(line, 0, Str_Find(line, ' ')), key)) {
            count++;
        }
        text = Str_Slice(text, end + 1, text.len);
    }
    return count;
}

int
Fleet_CountEffects(Fleet *fleet, Str key)
{
    int count = 0;

    for (int i = 0; i < fleet->count; i++) {
        StrBuf name = {0};
        StrBuf text = {0};
        StrBuf_AppendFmt(&name, "%.*s/effects%d", Str_ARG(fleet->folder), i);
        if (Set_ReadFile(StrBuf_View(&name), &text, NULL)) {
            count += count_lines(StrBuf_View(&text), key);
        }
        StrBuf_Finish(&name);
        StrBuf_Finish(&text);
    }
    return count;
}
