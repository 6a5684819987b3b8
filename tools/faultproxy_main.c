/* faultproxy: forwards TCP connections and simulates network faults on
 * command: delay, low bandwidth, closed and silent connections.  The commands
 * are described in proxy_control.h.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "process/loop.h"
#include "proxy_control.h"

static void
on_signal(evutil_socket_t number, short what, void *context)
{
    (void)number;
    (void)what;
    Loop_Stop(context);
}

static int
serve(Addr listen, const struct arg_str *commands)
{
    Loop loop;
    ProxyControl control;
    struct event *terminate;
    Err err = {0};
    bool good =
        Loop_Init(&loop, &err) && Prc_Init(&control, loop.base, listen, &err);

    for (int i = 0; good && i < commands->count; i++) {
        good = Prc_Execute(&control, Str_FromC(commands->sval[i]), Loop_Now(),
                           &err);
    }
    if (!good) {
        fprintf(stderr, "faultproxy: %.*s\n", Str_ARG(Err_Text(&err)));
        return 1;
    }
    terminate = evsignal_new(loop.base, SIGTERM, on_signal, &loop);
    event_add(terminate, NULL);
    Loop_Run(&loop);
    event_free(terminate);
    Prc_Finish(&control);
    Loop_Finish(&loop);
    return 0;
}

int
main(int argc, char **argv)
{
    struct arg_str *listen =
        arg_str1(NULL, "control", "IP:PORT", "address to accept commands on");
    struct arg_str *commands = arg_strn(NULL, NULL, "COMMAND", 0, 500,
                                        "commands to execute at startup");
    struct arg_end *end = arg_end(8);
    void *table[] = {listen, commands, end};
    Addr addr = Addr_NONE;

    signal(SIGPIPE, SIG_IGN);
    if (arg_parse(argc, argv, table) ||
        !Addr_Parse(Str_FromC(listen->sval[0]), &addr)) {
        arg_print_errors(stderr, end, "faultproxy");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    return serve(addr, commands);
}
