#!/bin/sh
# Starts the example site as separate processes on loopback: the store, two
# engines, two plain services and four routers; puts both partners' documents
# in force, and sends a few requests. Ends everything that it started.
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
go build -o "$work/granitehoist" ./cmd/granitehoist
cp examples/site/*.toml "$work"
cd "$work"
pids=""
stop() {
	for pid in $pids; do kill "$pid" 2>/dev/null || true; done
	for pid in $pids; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$work"
}
trap stop EXIT
start() {
	"$@" 2>>log &
	pids="$! $pids"
}
ready() {
	for _ in $(seq 100); do
		curl -sf "$1" >/dev/null 2>&1 && return 0
		sleep 0.1
	done
	echo "nothing answers at $1" >&2
	cat log >&2
	return 1
}

./granitehoist keys partner --out tuul.secret >tuul.pub
./granitehoist keys partner --out lima.secret >lima.pub
./granitehoist check *.toml
start ./granitehoist standin store --listen 127.0.0.1:7000
start ./granitehoist standin engine --listen 127.0.0.1:9001
start ./granitehoist standin engine --listen 127.0.0.1:9002
start ./granitehoist standin service --listen 127.0.0.1:9101
start ./granitehoist standin service --listen 127.0.0.1:9102
ready http://127.0.0.1:7000/calls
for box in ulaan-hall-1 zaisan-hall-1 miraflores-1 callao-1; do
	start ./granitehoist router --settings $box.toml
done
for port in 8080 8180 8280 8380; do ready http://127.0.0.1:$port/health; done
./granitehoist apply --router http://127.0.0.1:8082 --key tuul.secret tuul.toml
./granitehoist apply --router http://127.0.0.1:8282 --key lima.secret lima.toml
for port in 8080 8180 8280 8380; do ready http://127.0.0.1:$port/ready; done

echo "--- a kiosk's question, streamed"
curl -sN http://127.0.0.1:8080/v1/chat/completions -H 'Authorization: Bearer example-kiosk-key' \
	-d '{"model":"granite-8b","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"When does the lock close?"}]}'
echo "--- a driver starts a session, and the answer is asked for again elsewhere"
for port in 8280 8380; do
	curl -s http://127.0.0.1:$port/services/estacion-api/sessions -H 'Authorization: Bearer example-driver-key' -H 'X-Request-Id: start-1' -d 'plug 7'
	echo
done
echo "--- a wrong key"
curl -s http://127.0.0.1:8180/v1/models -H 'Authorization: Bearer nobody'
sleep 2
echo "--- bills and budgets"
./granitehoist bills --router http://127.0.0.1:8082
./granitehoist budget show --router http://127.0.0.1:8382
echo "--- service-level burn"
./granitehoist report burn --router http://127.0.0.1:8082 | tail -4
