#!/usr/bin/env bash
# Starts a system on loopback: three control replicas, two routers, two simulated engines and a simulated service.
# Usage: examples/start.sh [hulplijn|prairie] [--once]   --once: stop after the first request.
set -euo pipefail
cd "$(dirname "$0")/.."
profile=${1:-hulplijn}
bin=build
case $profile in
hulplijn) base=17000 pool=taalhulp service=portal model=taal-small token=helpline-token ;;
prairie) base=17100 pool=drafting-models service=sales-ledger model=pitch-writer token=desk-token ;;
*) echo "usage: examples/start.sh [hulplijn|prairie] [--once]" >&2; exit 2 ;;
esac
run=run/$profile
rm -rf "$run"
mkdir -p "$run"
pids=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
}
trap stop EXIT
trap 'exit 130' INT TERM
start() {
    local name=$1
    shift
    "$@" >"$run/$name.out" 2>"$run/$name.log" &
    pids+=($!)
}
for i in 1 2 3; do start control-$i $bin/roserail-control examples/$profile/control-$i.yaml; done
for i in 1 2; do start router-$i $bin/roserail-router examples/$profile/router-$i.yaml; done
routers=127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22))
for i in 1 2; do
    start engine-$i $bin/tests/standin-engine --id engine-$i --pool $pool --port $((base + 30 + i)) --routers $routers --load-ms 1000
done
start service $bin/tests/standin-service --id service-1 --pool $service --port $((base + 41)) --routers $routers
control=127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))
ctl=($bin/roserailctl --control $control --token root-token)
"${ctl[@]}" bootstrap -f examples/$profile/control-1.yaml
"${ctl[@]}" apply -f examples/$profile/document.yaml
"${ctl[@]}" status
echo "sending a request for a model that no engine has loaded yet:"
curl -sS -N --max-time 30 "http://127.0.0.1:$((base + 21))/v1/chat/completions" -H "Authorization: Bearer $token" \
    -H 'Roserail-Deadline-Ms: 20000' -H 'Content-Type: application/json' \
    -d "{\"model\":\"$model\",\"stream\":true,\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}"
[ "${2:-}" = --once ] && exit 0
echo "system is running: routers at $routers, control replicas at $control, logs in $run; stop it with Ctrl-C"
wait
