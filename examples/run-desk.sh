#!/usr/bin/env bash
# Runs the fleet of an example on loopback as separate processes: examples/run-desk.sh umoja|postal-exchange
# Ctrl-C drains and stops every process that the script started.
set -euo pipefail
cd "$(dirname "$0")/.."
example=${1:?name an example: umoja or postal-exchange}
settings="examples/$example/settings"
[ -d "$settings" ] || { echo "there is no example $example" >&2; exit 2; }
cargo build --release --locked --bin mangorouter --bin mangoctl
mkdir -p "data/$example"
pids=()
finish() {
  trap - INT TERM EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
}
trap finish INT TERM EXIT
for role in control entry agent stand-in; do
  for file in "$settings/$role"-*.toml; do
    target/release/mangorouter "$role" --config "$file" 2>>"data/$example/$(basename "$file" .toml).log" &
    pids+=("$!")
  done
done
at=$(sed -n 's/^operator = "\(.*\)"/\1/p' "$settings"/control-*.toml | paste -sd, -)
callers=$(sed -n 's/^callers = "\(.*\)"/\1/p' "$settings"/entry-*.toml | paste -sd' ' -)
echo "$example runs as ${#pids[@]} processes. In another terminal:"
echo "  export MANGOROUTER_OPERATOR=$at"
echo "  target/release/mangoctl apply examples/$example/declarations --yes --wait"
echo "  target/release/mangoctl status"
echo "The entries serve callers at: $callers"
wait
