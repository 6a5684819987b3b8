/* fakeback: a fake backend server for tests, demonstrations and measurements;
 * see fake_server.h.  SIGUSR1 toggles draining; SIGTERM and SIGINT end it.
 */
#include <argtable2.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>

#include "fake_server.h"

static void
on_signal(evutil_socket_t signal_number, short what, void *context)
{
    FakeServer *fake = context;

    (void)what;
    if (signal_number == SIGUSR1) {
        fake->knobs.draining = !fake->knobs.draining;
        Fak_Announce(fake, Loop_Now());
        return;
    }
    Loop_Stop(&fake->loop);
}

static int
serve(FakeServer *fake)
{
    int signals[] = {SIGTERM, SIGINT, SIGUSR1};
    Err err = {0};

    if (!Fak_Init(fake, &err)) {
        fprintf(stderr, "fakeback: %.*s\n", Str_ARG(Err_Text(&err)));
        return 1;
    }
    for (size_t i = 0; i < sizeof signals / sizeof signals[0]; i++) {
        event_add(evsignal_new(fake->loop.base, signals[i], on_signal, fake),
                  NULL);
    }
    Loop_Run(&fake->loop);
    return 0;
}

/* Sets the knob that TEXT, NAME=VALUE, gives.  Prints an error and returns
 * false if it is not valid. */
static bool
set_knob(FakeServer *fake, Str text)
{
    size_t equals = Str_Find(text, '=');
    Err err = {0};

    if (!Knb_Set(&fake->knobs, Str_Slice(text, 0, equals),
                 Str_Slice(text, equals + 1, text.len), &err)) {
        fprintf(stderr, "fakeback: %.*s\n", Str_ARG(Err_Text(&err)));
        return false;
    }
    return true;
}

int
main(int argc, char **argv)
{
    struct arg_str *service =
        arg_str1(NULL, "service", "NAME", "name of the service");
    struct arg_str *addr =
        arg_str1(NULL, "listen", "IP:PORT", "address to listen on");
    struct arg_str *node_operators_addr =
        arg_str1(NULL, "node", "IP:PORT", "operator address of its node");
    struct arg_str *node_callers_addr =
        arg_str0(NULL, "calls", "IP:PORT", "caller address of its node");
    struct arg_int *port = arg_int0(NULL, "announce-port", "PORT",
                                    "port to announce (default: its own)");
    struct arg_int *slots =
        arg_int0(NULL, "slots", "N", "number of slots (default: 9)");
    struct arg_int *service_us = arg_int0(
        NULL, "service-us", "US", "service time in us (default: 5000)");
    struct arg_int *seed =
        arg_int0(NULL, "seed", "N", "random seed (default: 1)");
    struct arg_file *effects = arg_file0(NULL, "effects", "FILE",
                                         "append one line per effect to FILE");
    struct arg_str *knobs = arg_strn(NULL, "set", "NAME=VALUE", 0, 20,
                                     "set a knob (see fake_knobs.h)");
    struct arg_end *end = arg_end(8);
    void *table[] = {service,
                     addr,
                     node_operators_addr,
                     node_callers_addr,
                     port,
                     slots,
                     service_us,
                     seed,
                     effects,
                     knobs,
                     end};
    FakeServer fake = {.effects_fd = -1};

    fake.knobs = (FakeKnobs){.slots = 9,
                             .service_us = 5000,
                             .slowdown = 1,
                             .cold_slowdown = 1,
                             .announced_factor = 1};
    signal(SIGPIPE, SIG_IGN);
    if (arg_parse(argc, argv, table) ||
        !Addr_Parse(Str_FromC(addr->sval[0]), &fake.addr) ||
        !Addr_Parse(Str_FromC(node_operators_addr->sval[0]),
                    &fake.node_operators_addr) ||
        (node_callers_addr->count &&
         !Addr_Parse(Str_FromC(node_callers_addr->sval[0]),
                     &fake.node_callers_addr))) {
        arg_print_errors(stderr, end, "fakeback");
        arg_print_glossary(stderr, table, "  %-24s %s\n");
        return 2;
    }
    fake.service = Str_FromC(service->sval[0]);
    fake.announced_port =
        port->count ? (uint16_t)port->ival[0] : Addr_Port(fake.addr);
    if (slots->count) {
        fake.knobs.slots = slots->ival[0];
    }
    if (service_us->count) {
        fake.knobs.service_us = service_us->ival[0];
    }
    Rng_Init(&fake.rng, seed->count ? (uint64_t)seed->ival[0] : 1);
    for (int i = 0; i < knobs->count; i++) {
        if (!set_knob(&fake, Str_FromC(knobs->sval[i]))) {
            return 2;
        }
    }
    if (effects->count) {
        fake.effects_fd =
            open(effects->filename[0], O_WRONLY | O_CREAT | O_APPEND, 0644);
    }
    return serve(&fake);
}
