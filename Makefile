BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build demo check test sanitize mutants soak review bench \
	capacity lint \
	format clean install

all: build

deps:
	@scripts/deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@scripts/demo.sh $(BUILD)

check: build
	@scripts/check.sh $(BUILD)

test: check

# Runs the tests with the address and undefined-behaviour sanitizers of clang,
# then threads_test (the published view) with the thread sanitizer, then the
# fuzzer.
sanitize: deps
	@cmake -S . -B $(BUILD)-sanitize -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DMV_SANITIZE=ON -DMV_FUZZ=ON -DCMAKE_C_COMPILER=clang \
	    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	@cmake --build $(BUILD)-sanitize -j $(JOBS)
	@scripts/check.sh $(BUILD)-sanitize \
	    'FlowEvents|process|Flows.Dead|Flows.Leaving|Flows.Paused|Floods|Members.Death|for an hour|relay_large'

	@cmake -S . -B $(BUILD)-threads -G Ninja -DCMAKE_BUILD_TYPE=Debug \
	    -DMV_SANITIZE_THREADS=ON -DCMAKE_C_COMPILER=clang \
	    -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	@cmake --build $(BUILD)-threads -j $(JOBS) --target threads_test
	@$(BUILD)-threads/bin/threads_test
	@scripts/fuzz.sh $(BUILD)-sanitize

# Plants one fault at a time; a test must fail for each (about 10 min).
mutants: build
	@scripts/mutants.py

# Fault soak with SEEDS new seeds, for some minutes; the logs of a failed seed
# are kept.
SEEDS ?= 12
soak: build
	@scripts/soak.sh $(BUILD) $(SEEDS)

# Runs the cases of review/ once with their trouble and once without, some at a
# time (about 10 min).
review:
	@scripts/review.sh $(REVIEW_RUNS)

bench: build
	@$(BUILD)/bin/masticvane-bench all docs/results/bench.md

capacity: build
	@$(BUILD)/bin/masticvane-capacity docs/results/capacity.md
	@$(BUILD)/bin/masticvane-feed-capacity | tee docs/results/feed.md

lint: deps
	@scripts/lint.sh $(BUILD)

format:
	@clang-format -i $$(git ls-files '*.c' '*.h' '*.cc')

install: build
	@cmake --install $(BUILD)

clean:
	rm -rf $(BUILD)
