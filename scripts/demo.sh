#!/bin/sh
# Runs the daemons against the stand-ins on loopback and walks through the whole path. Ends by itself
# with status 0; a step that fails is named and gives status 1.
set -u

bin=target/release
dir=.demo
base=${BASE_PORT:-7100}
credential=demo-credential-0123
vms="1 2 3"
pids=""

caller() { echo "127.0.0.1:$((base + 300 + 10 * ($1 - 1)))"; }
operator() { echo "127.0.0.1:$((base + 301 + 10 * ($1 - 1)))"; }

PERSIMMONGLADE_ADDRESS="$(operator 1),$(operator 2),$(operator 3)"
PERSIMMONGLADE_CREDENTIAL=$credential
export PERSIMMONGLADE_ADDRESS PERSIMMONGLADE_CREDENTIAL

stop() {
    for pid in $pids; do kill "$pid" 2>/dev/null; done
    wait 2>/dev/null
}
trap stop EXIT

fail() {
    echo "demo: step failed: $1" >&2
    exit 1
}

# Tries a command once a second until it succeeds or 30 s have passed.
eventually() {
    tries=0
    until "$@" >/dev/null 2>&1; do
        tries=$((tries + 1))
        [ "$tries" -lt 30 ] || return 1
        sleep 1
    done
}

all_resident() {
    # Rows without a residence have an empty last column.
    ! $bin/persimmonglade table state | grep -E '(model|adapter),[0-9]+,[0-9]*,[^,]*,$'
}

load() { $bin/persimmonglade-load --seed "$(caller 1)" --seed "$(caller 2)" --seed "$(caller 3)" "$@"; }

mkdir -p $dir
echo "== starting the stand-ins, three entries and three planners"
$bin/persimmonglade-standins --base-port "$base" run 2>$dir/standins.log &
pids="$pids $!"
sleep 0.3
kill -0 "$!" 2>/dev/null || fail "start of the stand-ins: $(tail -n 1 $dir/standins.log)"
for vm in $vms; do
    $bin/persimmonglade-standins --base-port "$base" settings --credential $credential "$vm" \
        >$dir/vm-$vm.yaml || fail "settings of vm-$vm"
    $bin/persimmonglade check $dir/vm-$vm.yaml >/dev/null || fail "check of the settings of vm-$vm"
    $bin/persimmonglade-entry --settings $dir/vm-$vm.yaml >$dir/entry-$vm.log 2>&1 &
    pids="$pids $!"
    [ "$vm" = 3 ] && drained=$!
    $bin/persimmonglade-planner --settings $dir/vm-$vm.yaml >$dir/planner-$vm.log 2>&1 &
    pids="$pids $!"
done
eventually $bin/persimmonglade vms || fail "start of the daemons"
sleep 2

echo "== applying a table of 20 models, 75 adapters and a plain service"
$bin/persimmonglade-standins table >$dir/table.csv || fail "making the table"
$bin/persimmonglade table apply --based-on 0 --author demo $dir/table.csv || fail "first apply"
eventually all_resident || fail "a residence for every model and adapter within 30 s"
echo "every model and adapter has a residence"

echo "== asking which addresses to use"
load chat --rate 20 --seconds 1 --stream model-00 adapter-00 >/dev/null || fail "directory"

echo "== streaming chat answers from models and adapters"
load chat --rate 60 --seconds 3 --stream model-01 model-07 adapter-03 adapter-44 adapter-70 ||
    fail "streamed chat answers"

echo "== a pickup claim, twice under one key"
$bin/persimmonglade-load --seed "$(caller 1)" --seed "$(caller 2)" \
    claim /services/market/claims demo-claim-1 || fail "claim made twice"

echo "== editing a row"
$bin/persimmonglade table set --author demo model-00 weight=7 || fail "edit of a row"
for vm in $vms; do
    $bin/persimmonglade --address "$(operator "$vm")" table get 2>/dev/null |
        grep -q '^model-00,model,,[0-9]*,urgent,7,' || fail "edit in force on vm-$vm"
done

echo "== draining vm-3 under load"
load chat --rate 60 --seconds 14 --stream --tokens 40 model-02 model-05 adapter-10 \
    >$dir/drain-load.json &
load_pid=$!
sleep 2
$bin/persimmonglade drain vm-3 || fail "drain of vm-3"
wait "$drained" || fail "vm-3 ended with status $?"
wait $load_pid || fail "requests under the drain: $(cat $dir/drain-load.json)"
cat $dir/drain-load.json

echo "== the state"
$bin/persimmonglade table state | head -n 8
$bin/persimmonglade vms
echo "== done: all steps passed"
