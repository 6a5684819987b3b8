#include <curl/curl.h>

#include "fleet.h"

enum { CONTROL_PORT = 7999, FIRST_PORT = 10000, PORT_STEP = 100 };

/* The proxy listens on 127.<net>.<subnet>.PROXY_HOST. */
enum { PROXY_HOST = 200 };

static const char *
get_region(int vm)
{
    return vm % 4 < 2 ? "norte" : "litoral";
}

void
Fleet_AppendRoutes(const Fleet *fleet, int vm, StrBuf *out)
{
    bool first = true;

    if (!fleet->proxy) {
        return;
    }
    StrBuf_Append(out, Str_LIT(",\"routes\":["));
    for (int i = 0; i < fleet->vm_count; i++) {
        if (i != vm) {
            StrBuf_AppendFmt(out,
                             "%s{\"to\":\"%.*s:7400\","
                             "\"via\":\"127.%d.%d.%d:%d\"}",
                             first ? "" : ",", Str_ARG(fleet->vms[i].ip),
                             fleet->net, fleet->subnet, PROXY_HOST,
                             FIRST_PORT + vm * PORT_STEP + i);
            first = false;
        }
    }
    StrBuf_Append(out, Str_LIT("]"));
}

/* Adds the links from node VM to the other nodes and to its backend server. */
static void
add_links(Fleet *fleet, int vm)
{
    StrBuf command = {0};

    for (int i = 0; i < fleet->vm_count; i++) {
        if (i != vm) {
            StrBuf_AppendFmt(&command,
                             "add n%d-%d 127.%d.%d.%d:%d %.*s:7400 %s>%s "
                             "%s>%s\n",
                             vm, i, fleet->net, fleet->subnet, PROXY_HOST,
                             FIRST_PORT + vm * PORT_STEP + i,
                             Str_ARG(fleet->vms[i].ip), get_region(vm),
                             get_region(i), get_region(i), get_region(vm));
        }
    }
    StrBuf_AppendFmt(&command, "add b%d %.*s:9100 %.*s:9000\n", vm,
                     Str_ARG(fleet->vms[vm].ip), Str_ARG(fleet->vms[vm].ip));
    Fleet_SendProxyCommand(fleet, StrBuf_View(&command));
    StrBuf_Finish(&command);
}

void
Fleet_UseProxy(Fleet *fleet)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, "%.*s/faultproxy --control 127.%d.%d.%d:%d",
                     Str_ARG(fleet->build_folder), fleet->net, fleet->subnet,
                     PROXY_HOST, CONTROL_PORT);
    fleet->proxy = Fleet_StartProcess(fleet, &command, "proxy");
    StrBuf_Finish(&command);
    for (int i = 0; i < 100 && !Fleet_SendProxyCommand(fleet, Str_LIT("\n"));
         i++) {
        Fleet_Sleep(Span_MS(10));
    }
    for (int i = 0; i < fleet->vm_count; i++) {
        add_links(fleet, i);
    }
}

static size_t
append_text(char *bytes, size_t size, size_t count, void *context)
{
    StrBuf_Append(context, Str_From(bytes, size * count));
    return size * count;
}

/* Sends GET PATH, or POST PATH with a non-empty BODY, to the proxy and appends
 * the answer to OUT.  Returns whether the status is 200. */
static bool
request_proxy(Fleet *fleet, const char *path, Str body, StrBuf *out)
{
    CURL *curl = curl_easy_init();
    StrBuf url = {0};
    long status = 0;

    StrBuf_AppendFmt(&url, "http://127.%d.%d.%d:%d%s", fleet->net,
                     fleet->subnet, PROXY_HOST, CONTROL_PORT, path);
    curl_easy_setopt(curl, CURLOPT_URL, StrBuf_CStr(&url));
    if (body.len) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE, (long)body.len);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.ptr);
    }
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_text);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, out);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, 5000L);
    curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(curl);
    StrBuf_Finish(&url);
    return status == 200;
}

bool
Fleet_SendProxyCommand(Fleet *fleet, Str command)
{
    StrBuf out = {0};
    bool good = request_proxy(fleet, "/control", command, &out);

    StrBuf_Finish(&out);
    return good;
}

void
Fleet_Isolate(Fleet *fleet, int vm)
{
    StrBuf command = {0};

    StrBuf_AppendFmt(&command, "hold n%d-* both\nhold n*-%d both", vm, vm);
    Fleet_SendProxyCommand(fleet, StrBuf_View(&command));
    StrBuf_Finish(&command);
}

void
Fleet_Heal(Fleet *fleet)
{
    Fleet_SendProxyCommand(fleet, Str_LIT("pass *"));
}

uint64_t
Fleet_ReadPipeBytes(Fleet *fleet, Str name)
{
    StrBuf text = {0};
    Str rest;
    uint64_t bytes = 0;

    request_proxy(fleet, "/stat", (Str){0}, &text);
    for (rest = StrBuf_View(&text); rest.len;) {
        size_t end = Str_Find(rest, '\n');
        Str line = Str_Slice(rest, 0, end);
        if (Str_StartsWith(line, Str_LIT("pipe "))) {
            Str item = Str_Slice(line, 5, line.len);
            size_t space = Str_Find(item, ' ');
            if (Str_Equal(Str_Slice(item, 0, space), name)) {
                Str_ToU64(Str_Slice(item, space + 1, item.len), &bytes);
            }
        }
        rest = Str_Slice(rest, end + 1, rest.len);
    }
    StrBuf_Finish(&text);
    return bytes;
}
