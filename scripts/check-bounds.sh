#!/usr/bin/env bash
# Checks fixed bounds: allocations, bytes and instructions per packet of the balancer's routing decisions, memory per flow
# of the agent, and traffic, propagation time and platform calls of the simulated mesh. Everything checked is a count or a
# simulated time, so the result does not depend on the load of the machine. Usage: scripts/check-bounds.sh [build folder]
#
# The bounds on instructions follow from the largest supported size (docs/design.md, section 1.5) on a core that executes
# 3 * 10^9 instructions per second. Packets of 300,000 flows, one per second in each direction, may use half of the core
# (2,500 instructions each). With 10,000 targets, 5,000 new flows per second may use a quarter (150,000 instructions each).
# With 10 targets, a new flow may use twice as many instructions as a packet of an established flow.
set -euo pipefail
cd "$(dirname "$0")/.."
benches=${1:-build}/bench
bench=$benches/routingbench
iterations=20000 # kIterations in bench/routingbench.cpp
max_bytes_added=96 # kMaxEnvelopeOverheadBytes
failed=0

# check_bound <description> <value> <bound>: prints the result. A missing value or one above the bound fails the script.
check_bound() {
  local verdict=ok
  if ! awk -v value="$2" -v bound="$3" 'BEGIN { exit !(value != "" && value + 0 <= bound + 0) }'; then
    verdict=FAILED
    failed=1
  fi
  printf '%-45s %10s  bound %8s  %s\n' "$1" "${2:-missing}" "$3" "$verdict"
}

# read_counter <benchmark> <name>: prints a counter from the benchmark's JSON output.
read_counter() {
  "$bench" --benchmark_filter="^$1/" --benchmark_format=json 2>/dev/null |
    sed -n "s/^ *\"$2\": \([0-9.e+-]*\),*$/\1/p" | awk '{ print $1 + 0 }'
}

# count_instructions <benchmark> <method>: prints the instructions per packet executed in this method of PacketRouter.
count_instructions() {
  valgrind --tool=callgrind --callgrind-out-file=/dev/null --toggle-collect="fireflytrestle::PacketRouter::$2*" \
    "$bench" --benchmark_filter="^$1/" 2>&1 |
    sed -n 's/.*Collected : \([0-9]*\).*/\1/p' | awk -v n="$iterations" '{ printf "%.0f", $1 / n }'
}

# check_benchmark <benchmark> <method> <bound on instructions>: checks all per-packet bounds of a routing benchmark.
check_benchmark() {
  check_bound "$1 allocations per packet" "$(read_counter "$1" allocations)" 0
  check_bound "$1 bytes added" "$(read_counter "$1" bytes_added)" "$max_bytes_added"
  check_bound "$1 instructions per packet" "$(count_instructions "$1" "$2")" "$3"
}

check_benchmark BoundEstablished OnFabricDatagram 2500
check_benchmark BoundReturned OnAgentDatagram 2500
check_benchmark BoundOpen OnFabricDatagram 5000
check_benchmark BoundOpenLarge OnFabricDatagram 150000

# The bounds below are defined in docs/design.md, section 1.5.
check_bound "agent bytes per flow with a feed" "$("$benches/agentbench" --benchmark_filter='^TickOnOpenFeeds/2000/' \
  --benchmark_format=json 2>/dev/null | sed -n 's/^ *"bytes\/flow+feed": \([0-9.e+]*\),*$/\1/p')" 512
mesh=$("$benches/meshbench" slopes 50)
# max_of_column <column>: prints the largest value of a CSV column in the rows of the mesh.
max_of_column() {
  awk -F, -v column="$1" 'NR == 1 { for (i = 1; i <= NF; ++i) if ($i == column) c = i }
    $1 == "mesh" && $c + 0 > most { most = $c + 0 } END { if (most != "") print most }' <<<"$mesh"
}
check_bound "mesh bytes per second, busiest node" "$(max_of_column bytes_per_s_max_node)" 5000
check_bound "mesh time until all nodes have a change, ms" "$(max_of_column spread_ms_max)" 4000
check_bound "platform calls in the busiest second" "$(max_of_column service_calls_max_s)" 2000
exit "$failed"
