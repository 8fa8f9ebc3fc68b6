#!/usr/bin/env bash
# Runs a complete deployment on loopback: a stand-in platform, three engines (one ignores fencing
# numbers), a plain service, their agents and two entries, with profiles of both users. Checks every
# response and stops all daemons gracefully. The exit status is 0 only if all checks pass.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=${CHERVILSPOOL_BIN:-target/release/chervilspool}
standin=${STANDIN_BIN:-target/release/standin}
for tool in curl "$bin" "$standin"; do
  command -v "$tool" >/dev/null || { echo "demo: $tool is missing; run cargo build --release --locked" >&2; exit 2; }
done

work=$(mktemp -d)
pids=()
names=()
failures=0

cleanup() {
  local pid
  for pid in "${pids[@]}"; do
    [ -n "$pid" ] || continue
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  if [ "$failures" = 0 ]; then rm -rf "$work"; else echo "logs are kept in $work"; fi
}
trap cleanup EXIT

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# Below the range of ephemeral ports: the kernel takes those for outgoing connections, so they can be
# in use although nothing listens on them.
next=$((20000 + RANDOM % 12000))
port() { # sets $free to an unused port
  until is_free "$next"; do next=$((next + 1)); done
  free=$next
  next=$((next + 1))
}

start() { # name command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  names+=("$name")
}

check() { # description expected actual
  if [ "$2" = "$3" ]; then
    echo "ok    $1"
  else
    echo "FAIL  $1: expected '$2', got '$3'"
    failures=$((failures + 1))
  fi
}

wait_for() { # description command...
  local name=$1 tries=0
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries + 1))
    if [ "$tries" -gt 150 ]; then
      echo "FAIL  $name"
      failures=$((failures + 1))
      return
    fi
    sleep 0.1
  done
}

# --- settings ------------------------------------------------------------------------------

key=8f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b49628f0c3a5e7d1b4962
token=demo-token-of-the-operator-0000000001
echo "$token" >"$work/token"
port; platform=127.0.0.1:$free
port; entry1=127.0.0.1:$free
port; entry2=127.0.0.1:$free
port; control1=127.0.0.1:$free
port; control2=127.0.0.1:$free
port; peer1=127.0.0.1:$free
port; peer2=127.0.0.1:$free
platform_settings="{\"table\": \"$platform\", \"objects\": \"$platform\", \"weights\": \"$platform\", \"hosts\": \"$platform\"}"

entry_settings() { # number callers operators peers
  cat >"$work/entry-$1.jsonc" <<JSON
{
    "daemon": "entry", "name": "entry-$1", "host": "entry-host-$1",
    "region": "demo", "place": "bolson-centro",
    "addresses": { "callers": "$2", "operators": "$3", "peers": "$4" },
    "peers": ["$peer1", "$peer2"],
    "platform": $platform_settings,
    "keys": [{ "id": 1, "secret": "$key" }],
    "operators": [{ "name": "demo", "token": "$token" }],
    "caller_identity": { "header": "X-Caller" },
    // Short, because no load balancer requests /healthz here.
    "intervals": { "balancer_notice_ms": 300, "lease_ms": 2000 }
}
JSON
}

agent_settings() { # name service kind target-address honours-fencing
  port
  cat >"$work/agent-$1.jsonc" <<JSON
{
    "daemon": "agent",
    "target": { "name": "$1", "service": "$2", "kind": "$3", "address": "$4", "honours_fencing": $5 },
    "host": "host-$1", "region": "demo", "place": "bolson-centro",
    "listen": "127.0.0.1:$free",
    "platform": $platform_settings,
    "keys": [{ "id": 1, "secret": "$key" }],
    "order_poll_ms": 1000, "order_settle_ms": 500, "drain": { "notice_ms": 300 }
}
JSON
}

entry_settings 1 "$entry1" "$control1" "$peer1"
entry_settings 2 "$entry2" "$control2" "$peer2"
for file in "$work"/entry-*.jsonc; do "$bin" check --settings "$file" >/dev/null; done

# --- start ---------------------------------------------------------------------------------

start platform "$standin" platform --listen "$platform"
wait_for "platform is ready" curl -fsS "http://$platform/counters"
engines=()
for engine in bitacora-01:modelos-bitacora:true bitacora-02:modelos-bitacora:false draft-01:draft-models:true; do
  IFS=: read -r name service honours <<<"$engine"
  port; address=127.0.0.1:$free
  engines+=("$address")
  flags=()
  [ "$honours" = true ] || flags=(--ignore-fencing)
  start "engine-$name" "$standin" engine --listen "$address" --model demo --away-ms 800 "${flags[@]}"
  agent_settings "$name" "$service" model "$address" "$honours"
  start "agent-$name" "$bin" agent --settings "$work/agent-$name.jsonc"
done
port; plain=127.0.0.1:$free
start plain "$standin" plain --listen "$plain" --delay-ms 200
agent_settings ordenes-01 ordenes-mulas plain "$plain" false
start agent-ordenes-01 "$bin" agent --settings "$work/agent-ordenes-01.jsonc"
start entry-1 "$bin" entry --settings "$work/entry-1.jsonc"
start entry-2 "$bin" entry --settings "$work/entry-2.jsonc"
wait_for "entry 1 is ready" curl -fsS "http://$entry1/readyz"
wait_for "entry 2 is ready" curl -fsS "http://$entry2/readyz"

# --- profiles of both users ----------------------------------------------------------------

export CHERVILSPOOL_ENTRY=$control1 CHERVILSPOOL_TOKEN_FILE=$work/token
"$bin" profile create logbook --set model=demo --set version=1 --set priority=5 --set deadline_ms=60000 --set role_change_weight=6 --reason "season logbooks of El Bolson" >/dev/null
"$bin" profile create pitch-draft --set model=demo --set version=1 --set priority=2 --set deadline_ms=30000 --set role_change_weight=0.7 --reason "pitch books of Kitagawa" >/dev/null
"$bin" profile create work-order --set idempotent=false --set deadline_ms=10000 --reason "mule-team work orders" >/dev/null
"$bin" service set modelos-bitacora --kind model --profile logbook >/dev/null
"$bin" service set draft-models --kind model --profile pitch-draft >/dev/null
"$bin" service set ordenes-mulas --kind plain --profile work-order >/dev/null

open_targets() { # operators' address of an entry, expected number of open targets
  [ "$("$bin" status --json --entry "$1" | grep -o '"standing": *"Open"' | wc -l)" = "$2" ]
}
wait_for "all targets are open at entry 1" open_targets "$control1" 4
wait_for "all targets are open at entry 2" open_targets "$control2" 4

# --- requests ------------------------------------------------------------------------------

ask() { # address-of-entry service path body output-file [curl options]
  local entry=$1 service=$2 path=$3 body=$4 out=$5
  shift 5
  curl -sS -D "$out.head" -o "$out" -w '%{http_code}' -H 'Content-Type: application/json' \
    -H 'X-Caller: demo' "$@" --data-binary "$body" "http://$entry/services/$service/$path" || echo " curl-$?"
}
header() { tr -d '\r' <"$1.head" | sed -n "s/^$2: //Ip"; }
text_of() { grep -o '"text":"[^"]*"' "$1" | sed 's/^"text":"//; s/"$//' | tr -d '\n'; }
direct() { # engine body: text of the engine's response to a direct request
  curl -sS -H 'Content-Type: application/json' --data-binary "$2" "http://$1/v1/completions" >"$work/direct"
  text_of "$work/direct"
}
show() { echo "      $1: status $2, served by $(header "$3" x-served-by), $(wc -c <"$3") bytes"; }

logbook=$(printf 'flue checked, roof sheet loose, intake frozen; %.0s' $(seq 1 400))
body="{\"model\":\"demo\",\"prompt\":\"$logbook\",\"max_tokens\":40}"
status=$(ask "$entry1" modelos-bitacora v1/completions "$body" "$work/long")
show "long prompt" "$status" "$work/long"
check "long prompt gets a response" 200 "$status"
check "response to the long prompt is complete" "$(direct "${engines[0]}" "$body")" "$(text_of "$work/long")"

for question in 1 2 3; do
  body="{\"model\":\"demo\",\"prompt\":\"desk question $question: is the upper hut open?\",\"max_tokens\":8}"
  entry=$entry1
  [ "$question" = 2 ] && entry=$entry2
  status=$(ask "$entry" draft-models v1/completions "$body" "$work/desk")
  show "desk question $question" "$status" "$work/desk"
  check "desk question $question gets the response to its own prompt" "200 $(direct "${engines[2]}" "$body")" "$status $(text_of "$work/desk")"
done

# A streamed response, and a drain of the engine that serves it.
body='{"model":"demo","prompt":"a long stream about the water intake","max_tokens":150,"stream":true}'
ask "$entry1" modelos-bitacora v1/completions "$body" "$work/stream" -N >"$work/stream.status" &
stream=$!
wait_for "stream starts" grep -q "^data:" "$work/stream"
serving=$(header "$work/stream" x-served-by)
"$bin" engine drain "$serving" --reason "demo: drained during a stream" >/dev/null
echo "      stream: served by $serving, which is being drained"

# Meanwhile, a work order is sent to both entries with the same idempotency key.
order='{"hut":"refugio-natural","mules":3}'
ask "$entry1" ordenes-mulas orders-book/new "$order" "$work/order1" -H 'Idempotency-Key: order-17' >"$work/order1.status" &
first=$!
ask "$entry2" ordenes-mulas orders-book/new "$order" "$work/order2" -H 'Idempotency-Key: order-17' >"$work/order2.status" &
second=$!
wait "$first" "$second"
show "work order" "$(cat "$work/order1.status")" "$work/order1"
show "work order, resent" "$(cat "$work/order2.status")" "$work/order2"
check "both copies of the work order get the same response" "$(cat "$work/order1.status") $(cat "$work/order1")" "$(cat "$work/order2.status") $(cat "$work/order2")"
runs_of_order() { curl -sS "http://$plain/counters" | grep -o '"runs":{[^}]*}' | grep -o ':[0-9][0-9]*' | tr -d ':'; }
check "work order ran once" 1 "$(runs_of_order)"
status=$(ask "$entry1" ordenes-mulas orders-book/new "$order" "$work/order3")
check "work order without an idempotency key is refused with run state not-run" '400 "run":"not-run"' "$status $(grep -o '"run":"[^"]*"' "$work/order3")"

for number in 1 2 3 4; do
  body="{\"model\":\"demo\",\"prompt\":\"after the drain $number\",\"max_tokens\":4}"
  status=$(ask "$entry2" modelos-bitacora v1/completions "$body" "$work/after")
  check "request $number after the drain is served by the other engine" "200 other" "$status $([ "$(header "$work/after" x-served-by)" = "$serving" ] && echo "$serving" || echo other)"
done

"$bin" profile change logbook --set deadline_ms=45000 --reason "demo: changed during a stream" >/dev/null
wait "$stream"
check "stream is not interrupted by the drain and the profile change" "200 $(direct "${engines[0]}" '{"prompt":"a long stream about the water intake","max_tokens":150}')" "$(cat "$work/stream.status") $(text_of "$work/stream")"
check "stream ends with [DONE]" "data: [DONE]" "$(grep '^data:' "$work/stream" | tail -n 1)"

in_force() { "$bin" profile show logbook --json --entry "$1" | grep -q '"deadline_ms": *45000'; }
wait_for "profile change is in force at entry 2" in_force "$control2"
"$bin" engine order "$serving" --role decode --reason "demo: role change of a drained engine" >/dev/null
wait_for "role change is executed" "$bin" engine resume "$serving" --reason "demo: back in service"
wait_for "all targets are open again" open_targets "$control1" 4
roles() { "$bin" status --json | grep -o '"role": *"decode"' | wc -l; }
check "role change is in force" 1 "$(roles)"

# Reload of the settings with a new operator's token, without a restart.
echo demo-token-of-the-operator-0000000002 >"$work/token2"
sed -i 's/demo-token-of-the-operator-0000000001/demo-token-of-the-operator-0000000002/' "$work/entry-2.jsonc"
for index in "${!names[@]}"; do [ "${names[$index]}" != entry-2 ] || kill -HUP "${pids[$index]}"; done
wait_for "new token is in force at entry 2" "$bin" status --entry "$control2" --token-file "$work/token2"
check "old token is refused at entry 2" refused "$("$bin" status --entry "$control2" >/dev/null 2>&1 || echo refused)"

echo
echo "audit trail, newest first:"
"$bin" audit --limit 12
echo

# --- graceful stop -------------------------------------------------------------------------

order_of_stop=(entry-1 entry-2 agent-bitacora-01 agent-bitacora-02 agent-draft-01 agent-ordenes-01)
for name in "${order_of_stop[@]}"; do
  for index in "${!names[@]}"; do
    if [ "${names[$index]}" = "$name" ]; then
      kill -TERM "${pids[$index]}"
      code=0
      wait "${pids[$index]}" || code=$?
      pids[index]=
      check "$name stops gracefully" 0 "$code"
    fi
  done
done

if [ "$failures" = 0 ]; then echo "demo: all checks passed"; else echo "demo: $failures checks failed"; exit 1; fi
