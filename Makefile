# Front end for CMake. `make test` and `make demo` work on a fresh Debian 12, because they
# install the missing packages first.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build asan test soak fuzz demo bench report capacity lint format clean

all: build

deps:
	scripts/install_deps

build: deps
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

asan: deps
	cmake -S . -B $(BUILD)-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DJACKDAW_SANITIZE=ON >/dev/null
	cmake --build $(BUILD)-asan -j $(JOBS)

test: build asan
	scripts/run_tests $(BUILD) $(BUILD)-asan

# `make soak` runs the soak with seeds FIRST to FIRST + SEEDS - 1.
SEEDS ?= 50
FIRST ?= 1
soak: build
	scripts/soak $(BUILD) $(SEEDS) $(FIRST)

# `make fuzz` runs the tests with corrupted input for ROUNDS inputs each, with sanitizers.
# They cover records, pages of the store, requests, replies, and messages between hosts.
ROUNDS ?= 1000000
fuzz: asan
	for test in published_records store_page http_reader peer_gossip; do \
	  JACKDAW_FUZZ_ROUNDS=$(ROUNDS) $(BUILD)-asan/tests/unit/unit_test_$$test 2>/dev/null \
	    || exit 1; done

demo: build
	scripts/demo $(BUILD)

bench: build
	scripts/bench $(BUILD)

# `make report` prints what callers get over time, with the current choice of targets and
# with alternatives.
SEED ?= 1
report: build
	scripts/report $(BUILD) $(SEED)

capacity: build
	scripts/capacity $(BUILD)

lint: deps
	scripts/lint

format: deps
	git ls-files -co --exclude-standard '*.c' '*.h' | xargs clang-format -i

clean:
	rm -rf $(BUILD) $(BUILD)-asan
