#include "fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "process/settings/settings.h"

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

    *fleet =
        (Fleet){.subnet = subnet, .vm_count = count, .control_count = control};
    fleet->member_expiry = Span_S(1);
    if (!Fleet_ReserveNet(fleet)) {
        fprintf(stderr, "fleet: no free loopback addresses\n");
        exit(1);
    }
    StrBuf_Set(&fleet->build_folder, build);
    StrBuf_Set(&fleet->folder, Str_FromC(mkdtemp(folder)));
    for (int i = 0; i < count; i++) {
        fleet->vms[i].number = i;
        StrBuf_AppendFmt(&fleet->vms[i].ip, "127.%d.%d.%d", fleet->net, subnet,
                         i + 1);
    }
    Fleet_SetPreset(fleet, default_preset);
}

void
Fleet_SetExtraSettings(Fleet *fleet, Str members)
{
    StrBuf_Clear(&fleet->extra_settings);
    StrBuf_AppendFmt(&fleet->extra_settings, ",%.*s", Str_ARG(members));
}

void
Fleet_Sleep(Span time)
{
    struct timespec wait = {time / 1000000, time % 1000000 * 1000};

    nanosleep(&wait, NULL);
}

pid_t
Fleet_StartProcess(Fleet *fleet, StrBuf *command, const char *log)
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
        if (!freopen(path.ptr, "a", stderr) ||
            dup2(STDERR_FILENO, STDOUT_FILENO) < 0) {
            _exit(126);
        }
        execv(args[0], args);
        _exit(127);
    }
    StrBuf_Finish(&path);
    return child;
}

static void
append_replicas(const Fleet *fleet, StrBuf *out)
{
    StrBuf_AppendFmt(out, "\"control_replicas\":[");
    for (int i = 0; i < fleet->control_count; i++) {
        StrBuf_AppendFmt(out, "%s\"%.*s:7400\"", i ? "," : "",
                         Str_ARG(fleet->vms[i].ip));
    }
    StrBuf_Append(out, Str_LIT("]"));
}

static void
append_seeds(const Fleet *fleet, const FleetVm *vm, StrBuf *out)
{
    StrBuf_AppendFmt(out, "\"control_seeds\":[");
    for (size_t i = 0; i < fleet->seed_vms.len; i++) {
        StrBuf_AppendFmt(out, "%s\"%.*s:1\"", i ? "," : "",
                         Str_ARG(fleet->vms[fleet->seed_vms.ptr[i] - '0'].ip));
    }
    StrBuf_AppendFmt(out,
                     "],\"control_port\":7400,\"control\":%s,"
                     "\"begin_history\":%s",
                     vm->number < fleet->control_count ? "true" : "false",
                     fleet->begins_history ? "true" : "false");
}

void
Fleet_UseSeeds(Fleet *fleet, Str vms, bool begins)
{
    fleet->seed_vms = vms;
    fleet->begins_history = begins;
}

/* Appends the settings file of the node of VM. */
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
    StrBuf_Append(out, Str_LIT("],"));
    if (fleet->seed_vms.len) {
        append_seeds(fleet, vm, out);
    }
    else {
        append_replicas(fleet, out);
    }
    Fleet_AppendRoutes(fleet, vm->number, out);
    StrBuf_AppendFmt(out, ",\"data_folder\":\"%.*s/data%d\",",
                     Str_ARG(fleet->folder), vm->number);
    StrBuf_AppendFmt(out, "\"preset\":\"%.*s/preset.json\",",
                     Str_ARG(fleet->folder));
    if (getenv("RECORD_FLEET")) {
        StrBuf_AppendFmt(out, "\"record\":\"%.*s/trace%d\",",
                         Str_ARG(fleet->folder), vm->number);
    }
    StrBuf_AppendFmt(out,
                     "\"operator_key\":\"test-key\","
                     "\"heartbeat_ms\":200,\"member_expiry_ms\":%d,"
                     "\"backend_expiry_ms\":1500%.*s}",
                     (int)(fleet->member_expiry / 1000),
                     Str_ARG(fleet->extra_settings));
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
    Fleet_AppendDelay(fleet, number, &command);
    StrBuf_AppendFmt(&command, "%.*s/lycheeridged %.*s/%.*s",
                     Str_ARG(fleet->build_folder), Str_ARG(fleet->folder),
                     Str_ARG(name));
    vm->node = Fleet_StartProcess(fleet, &command, StrBuf_CStr(&name));
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
                     "--node %.*s:8100 --effects %.*s/effects%d %s%.*s",
                     Str_ARG(fleet->build_folder), Str_ARG(service),
                     Str_ARG(vm->ip), Str_ARG(vm->ip), Str_ARG(fleet->folder),
                     number, fleet->proxy ? "--announce-port 9100 " : "",
                     Str_ARG(options));
    vm->backend = Fleet_StartProcess(fleet, &command, "backend");
    StrBuf_Finish(&command);
}

int
Fleet_Kill(pid_t *process, int signal_number)
{
    int status = 0;

    if (*process > 0) {
        kill(*process, signal_number);
        waitpid(*process, &status, 0);
        *process = 0;
    }
    return status;
}

void
Fleet_LoseDataFolder(Fleet *fleet, int vm)
{
    StrBuf command = {0};

    Fleet_Kill(&fleet->vms[vm].node, SIGKILL);
    StrBuf_AppendFmt(&command, "rm -rf %.*s/data%d", Str_ARG(fleet->folder),
                     vm);
    if (system(StrBuf_CStr(&command)) != 0) {
        perror("fleet: data folder not deleted");
        exit(1);
    }
    StrBuf_Finish(&command);
}

void
Fleet_Finish(Fleet *fleet)
{
    StrBuf command = {0};

    for (int i = 0; i < fleet->vm_count; i++) {
        FleetVm *vm = &fleet->vms[i];
        Fleet_Kill(&vm->backend, SIGKILL);
        Fleet_Kill(&vm->node, SIGKILL);
        StrBuf_Finish(&vm->ip);
        StrBuf_Finish(&vm->service);
    }
    Fleet_Kill(&fleet->proxy, SIGKILL);
    close(fleet->net_socket);
    StrBuf_AppendFmt(&command, "rm -rf %.*s", Str_ARG(fleet->folder));
    if (!getenv("KEEP_FLEET") && system(StrBuf_CStr(&command)) != 0) {
        perror("fleet: folder not deleted");
    }
    StrBuf_Finish(&command);
    StrBuf_Finish(&fleet->build_folder);
    StrBuf_Finish(&fleet->folder);
    StrBuf_Finish(&fleet->preset);
    StrBuf_Finish(&fleet->extra_settings);
}
