# jujubestage: build, tests and checks. "make" builds ./jujubestage.

CC ?= gcc
PKGS = libwebsockets glib-2.0 libsodium libxxhash json-c libtirpc
PKG_CFLAGS := $(shell pkg-config --cflags $(PKGS) 2>/dev/null)
# Only the libraries that a program uses are loaded with it.
LDFLAGS ?= -Wl,--as-needed
PKG_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -largtable2 -llog4c -lm
CFLAGS ?= -O2 -g
WARNINGS = -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wpointer-arith -Wvla -Wno-missing-field-initializers
# Generated and rpcgen code is not ours to style; it only has to compile.
GEN_WARNINGS = -Wall -Wno-unused-variable
ALL_CFLAGS = -std=gnu11 $(CFLAGS) -I. -Iproto $(PKG_CFLAGS) -D_GNU_SOURCE -MMD -MP

BUILD = build
BIN = jujubestage
GEN_SRCS = $(wildcard proto/*.c)
MAIN_SRC = jujubestage.c
LIB_SRCS = $(filter-out $(MAIN_SRC),$(wildcard *.c)) $(wildcard credit/*.c platform/*.c)
BUILTIN_SRCS = $(wildcard builtin/*.c)
TEST_SRCS = $(wildcard t/test-*.c)
BENCH_SRCS = $(wildcard t/bench-*.c)
HELPER_SRCS = $(wildcard t/helper/*.c)
WORLD_SRCS = $(wildcard t/world/*.c)

FUZZ_SRCS = $(wildcard t/fuzz-*.c)

LIB_OBJS = $(LIB_SRCS:%.c=$(BUILD)/%.o) $(GEN_SRCS:%.c=$(BUILD)/%.o)
MAIN_OBJS = $(MAIN_SRC:%.c=$(BUILD)/%.o) $(BUILTIN_SRCS:%.c=$(BUILD)/%.o)
HELPER_OBJS = $(HELPER_SRCS:%.c=$(BUILD)/%.o)
WORLD_OBJS = $(WORLD_SRCS:%.c=$(BUILD)/%.o)
TESTS = $(TEST_SRCS:t/%.c=$(BUILD)/t/%)

OUR_SRCS = $(MAIN_SRC) $(LIB_SRCS) $(BUILTIN_SRCS) $(TEST_SRCS) $(BENCH_SRCS) $(HELPER_SRCS) \
	$(WORLD_SRCS)
OUR_FILES = $(OUR_SRCS) $(FUZZ_SRCS) t/plain-fuzzer.c \
	$(wildcard *.h builtin/*.h credit/*.h platform/*.h t/*.h t/helper/*.h t/world/*.h)

all: $(BIN) $(BUILD)/standin $(BUILD)/world

$(BIN): $(MAIN_OBJS) $(BUILD)/libjujubestage.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/libjujubestage.a: $(LIB_OBJS)
	$(AR) rcs $@ $^

# Stand-ins for platform, targets, fabric and callers; never linked into the product.
$(BUILD)/standin: $(HELPER_OBJS) $(BUILD)/libjujubestage.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

# The emulator of what surrounds instances that steer by marks; it links nothing of the product.
$(BUILD)/world: $(WORLD_OBJS)
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/t/test-%: $(BUILD)/t/test-%.o $(BUILD)/libjujubestage.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/t/bench-%: $(BUILD)/t/bench-%.o $(BUILD)/libjujubestage.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/proto/%.o: proto/%.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(GEN_WARNINGS) -c -o $@ $<

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(WARNINGS) -c -o $@ $<

deps:
	@scripts/install-deps

# Packages are installed first because the flags above come from pkg-config.
test: deps
	@$(MAKE) --no-print-directory all tests
	@t/run-tests $(TESTS)

tests: $(TESTS)

# Measurements; they print tables and check nothing.
bench: $(BENCH_SRCS:t/%.c=$(BUILD)/t/%)
	@for b in $^; do $$b || exit 1; done

demo: deps
	@$(MAKE) --no-print-directory all
	@scripts/demo

format:
	clang-format -i $(OUR_FILES)

check-format:
	clang-format --dry-run -Werror $(OUR_FILES)

LINT = $(OUR_SRCS:%=$(BUILD)/lint/%.ok) $(FUZZ_SRCS:%=$(BUILD)/lint/%.ok)
lint: $(LINT)

$(BUILD)/lint/%.ok: % $(wildcard *.h builtin/*.h credit/*.h platform/*.h t/*.h proto/*.h) .clang-tidy
	@mkdir -p $(@D)
	@clang-tidy --quiet $< -- -std=gnu11 -I. -Iproto $(PKG_CFLAGS) -D_GNU_SOURCE 2>$@.err || \
		{ cat $@.err; exit 1; }
	@touch $@

# Generated code is committed; "make generate" renews it and check-generated compares.
generate:
	scripts/generate proto docs

check-generated:
	@rm -rf $(BUILD)/generated && mkdir -p $(BUILD)/generated
	@scripts/generate $(BUILD)/generated
	@for f in $(BUILD)/generated/*; do \
		case $$f in *.md) dir=docs ;; *) dir=proto ;; esac; \
		cmp "$$f" "$$dir/$$(basename "$$f")" || exit 1; done

# Whole reports of two traces; renewed only after a change of decisions that is meant.
golden: $(BIN)
	@for t in bantayan/kill-drain vltava/withdraw; do mkdir -p t/golden/$$(dirname $$t); \
		./$(BIN) replay t/traces/$$(dirname $$t)/fleet t/traces/$$t.trace \
			>t/golden/$$t.report || exit 1; done

# Fuzzing with libFuzzer, or with a plain driver where clang's runtime for it is missing. New
# inputs are kept in build/fuzz/corpus; copy what shows a fault to t/corpus.
FUZZ_SECONDS ?= 60
FUZZ_NAMES = $(FUZZ_SRCS:t/fuzz-%.c=%)
FUZZ_SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined
fuzz:
	@if echo 'int LLVMFuzzerTestOneInput(void); int LLVMFuzzerTestOneInput(void) { return 0; }' | \
		clang -fsanitize=fuzzer -x c -o /dev/null - 2>/dev/null; then \
		$(MAKE) --no-print-directory fuzz-run BUILD=$(BUILD)/fuzz CC=clang \
			FUZZ_LINK=-fsanitize=fuzzer \
			CFLAGS="-O1 -g -fsanitize=fuzzer-no-link $(FUZZ_SANITIZE)"; \
	else \
		$(MAKE) --no-print-directory fuzz-run BUILD=$(BUILD)/fuzz \
			FUZZ_DRIVER=$(BUILD)/fuzz/t/plain-fuzzer.o CFLAGS="-O1 -g $(FUZZ_SANITIZE)"; \
	fi

fuzz-run: $(FUZZ_NAMES:%=$(BUILD)/t/fuzz-%) $(FUZZ_DRIVER)
	@for n in $(FUZZ_NAMES); do \
		mkdir -p $(BUILD)/corpus/$$n; \
		echo "fuzz-$$n: $(FUZZ_SECONDS) s"; \
		$(BUILD)/t/fuzz-$$n -max_total_time=$(FUZZ_SECONDS) -print_final_stats=1 \
			-artifact_prefix=$(BUILD)/ $(BUILD)/corpus/$$n t/corpus/$$n \
			>$(BUILD)/fuzz-$$n.log 2>&1 || \
			{ tail -40 $(BUILD)/fuzz-$$n.log; exit 1; }; \
		grep -E '^stat::|inputs' $(BUILD)/fuzz-$$n.log || true; \
	done

# The entry points again, under names of their own, for the test that replays t/corpus.
$(BUILD)/t/corpus-%.o: t/fuzz-%.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) $(WARNINGS) -DLLVMFuzzerTestOneInput=fuzz_$* -c -o $@ $<

$(BUILD)/t/test-corpus: $(BUILD)/t/test-corpus.o $(FUZZ_SRCS:t/fuzz-%.c=$(BUILD)/t/corpus-%.o) \
		$(BUILD)/libjujubestage.a
	$(CC) $(CFLAGS) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

$(BUILD)/t/fuzz-%: $(BUILD)/t/fuzz-%.o $(BUILD)/libjujubestage.a $(FUZZ_DRIVER)
	$(CC) $(CFLAGS) $(FUZZ_LINK) $(LDFLAGS) -o $@ $^ $(PKG_LIBS)

clean:
	rm -rf $(BUILD) $(BIN)

.PHONY: fuzz fuzz-run

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

.PHONY: all deps test tests bench demo format check-format lint generate check-generated golden clean
.SECONDARY:
