#!/usr/bin/env bash
# Runs a desk on loopback as separate processes: examples/run-desk.sh umoja|postal-exchange
# Stop it with Ctrl-C; every process that it started is then drained.
set -euo pipefail
cd "$(dirname "$0")/.."
desk=${1:?say which desk: umoja or postal-exchange}
settings="examples/$desk/settings"
[ -d "$settings" ] || { echo "there is no desk $desk" >&2; exit 2; }
cargo build --release --locked --bin mangorouter --bin mangoctl
mkdir -p "data/$desk"
pids=()
finish() {
  trap - INT TERM EXIT
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
}
trap finish INT TERM EXIT
for role in control entry agent stand-in; do
  for file in "$settings/$role"-*.toml; do
    target/release/mangorouter "$role" --config "$file" 2>>"data/$desk/$(basename "$file" .toml).log" &
    pids+=("$!")
  done
done
at=$(sed -n 's/^operator = "\(.*\)"/\1/p' "$settings"/control-*.toml | paste -sd, -)
callers=$(sed -n 's/^callers = "\(.*\)"/\1/p' "$settings"/entry-*.toml | paste -sd' ' -)
echo "$desk runs as ${#pids[@]} processes. In another terminal:"
echo "  export MANGOROUTER_OPERATOR=$at"
echo "  target/release/mangoctl apply examples/$desk/declarations --yes --wait"
echo "  target/release/mangoctl status"
echo "Callers are answered at: $callers"
wait
