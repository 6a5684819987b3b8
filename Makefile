# lycheeridge: make, make check, make demo, make bench, make lint, make format

CC ?= gcc
BUILD ?= build
JOBS ?= $(shell nproc)
PACKAGES = libevent libzmq argtable2 jansson msgpack libxxhash gsl
CFLAGS ?= -O2 -g
ALL_CFLAGS = -std=c11 -D_GNU_SOURCE -Isrc -Itools -Itests -Wall -Wextra \
	-Wshadow -Wstrict-prototypes -Werror $(CFLAGS) $(EXTRA_CFLAGS) \
	$(shell pkg-config --cflags $(PACKAGES) 2>/dev/null)
LIBS = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -lhttp_parser -lm
TEST_LIBS = $(shell pkg-config --libs check libcurl 2>/dev/null)

LIB_SOURCES = $(filter-out src/process/main.c src/process/cli/cli_main.c, \
	$(wildcard src/*/*.c src/*/*/*.c))
LIB_OBJECTS = $(LIB_SOURCES:%.c=$(BUILD)/%.o)
LIBRARY = $(BUILD)/liblycheeridge.a
DAEMON = $(BUILD)/lycheeridged
CLI = $(if $(wildcard src/process/cli/cli_main.c),$(BUILD)/lycheeridge)

# One program a file in tools/ whose name ends in _main.c; the rest is shared.
TOOL_MAINS = $(wildcard tools/*_main.c)
TOOLS = $(TOOL_MAINS:tools/%_main.c=$(BUILD)/%)
TOOL_OBJECTS = $(patsubst %.c,$(BUILD)/%.o, \
	$(filter-out $(TOOL_MAINS),$(wildcard tools/*.c)))

# One program a file test_*.c; the rest of its folder is shared.
UNIT_MAINS = $(wildcard tests/unit/test_*.c)
UNIT_TESTS = $(UNIT_MAINS:tests/unit/%.c=$(BUILD)/%)
FLEET_MAINS = $(wildcard tests/integration/test_*.c)
FLEET_TESTS = $(FLEET_MAINS:tests/integration/%.c=$(BUILD)/%)
FLEET_OBJECTS = $(patsubst %.c,$(BUILD)/%.o, \
	$(filter-out $(FLEET_MAINS),$(wildcard tests/integration/*.c)))

# Shared objects that fleets preload into the daemon.
PRELOADS = $(patsubst tests/preload/%.c,$(BUILD)/%.so, \
	$(wildcard tests/preload/*.c))

SUPPORT_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/support/*.c))

SOURCES = $(wildcard src/*/*.[ch] src/*/*/*.[ch] tools/*.[ch] tests/*/*.[ch])

all: $(DAEMON) $(CLI) $(TOOLS)

programs: all $(UNIT_TESTS) $(FLEET_TESTS) $(PRELOADS)

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo "CC $<"
	@$(CC) $(ALL_CFLAGS) -MMD -MP -c $< -o $@

$(LIBRARY): $(LIB_OBJECTS)
	@rm -f $@
	@ar rcs $@ $^

$(DAEMON): $(BUILD)/src/process/main.o $(LIBRARY)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $^ $(LIBS) -o $@

$(BUILD)/lycheeridge: $(BUILD)/src/process/cli/cli_main.o $(LIBRARY)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $^ $(LIBS) -o $@

$(TOOLS): $(BUILD)/%: $(BUILD)/tools/%_main.o $(TOOL_OBJECTS) $(LIBRARY)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $^ $(LIBS) -lm -o $@

$(UNIT_TESTS): $(BUILD)/%: $(BUILD)/tests/unit/%.o $(SUPPORT_OBJECTS) \
		$(LIBRARY)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $^ $(LIBS) $(TEST_LIBS) -lm -o $@

$(FLEET_TESTS): $(BUILD)/%: $(BUILD)/tests/integration/%.o $(FLEET_OBJECTS) \
		$(SUPPORT_OBJECTS) 		$(LIBRARY)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) $^ $(LIBS) $(TEST_LIBS) -lm -o $@

$(PRELOADS): $(BUILD)/%.so: tests/preload/%.c
	@mkdir -p $(BUILD)
	@echo "LD $@"
	@$(CC) $(ALL_CFLAGS) -fPIC -shared $< -o $@

packages:
	scripts/install-packages

check: packages
	$(MAKE) -j $(JOBS) programs
	scripts/run-tests $(BUILD)

demo: packages
	$(MAKE) -j $(JOBS) all
	scripts/demo $(BUILD)

bench: packages
	$(MAKE) -j $(JOBS) all
	scripts/bench $(BUILD)

format:
	@clang-format -i $(SOURCES)

lint:
	@clang-format --dry-run --Werror $(SOURCES)
	@cppcheck --quiet --std=c11 --enable=warning,performance,portability \
		--inline-suppr --suppress=missingIncludeSystem \
		--error-exitcode=1 -Isrc -Itools src tools
	@printf '%s\n' $(filter %.c,$(SOURCES)) | xargs -P $(JOBS) -I{} \
		clang-tidy --quiet --warnings-as-errors='*' {} -- \
		$(filter-out -Werror,$(ALL_CFLAGS))

# A short run that looks only at effects, never at times.
bench-smoke: all
	scripts/bench $(BUILD) smoke

clean:
	rm -rf $(BUILD)

.PHONY: all programs packages check demo bench bench-smoke format lint clean

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
